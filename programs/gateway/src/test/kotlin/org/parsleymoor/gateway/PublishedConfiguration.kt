package org.parsleymoor.gateway

import com.github.michaelbull.result.get
import io.vertx.core.Vertx
import org.parsleymoor.clients.ConfigurationOffer
import org.parsleymoor.clients.HttpAddress
import org.parsleymoor.clients.VertxPlatformClient
import org.parsleymoor.configuration.Configuration
import org.parsleymoor.configuration.ConfigurationRoot
import org.parsleymoor.configuration.toSections

/** Makes [configuration], whose revision follows the last, the accepted one of the platform at port [platform]. */
internal suspend fun publish(vertx: Vertx, platform: Int, configuration: Configuration) {
    val offer = offerOf(configuration)
    VertxPlatformClient(vertx, HttpAddress("127.0.0.1", platform)).use { objects ->
        configuration.toSections().forEach {
            val name = it.reference.objectName
            objects.write(ConfigurationRoot.KIND, name, it.text, 0, name)
        }
        val before = configuration.revision - 1
        val written =
            objects.write(ConfigurationRoot.KIND, ConfigurationRoot.NAME, offer.root, before, writeId(configuration))
        check(written.get() == configuration.revision) { "expected ${configuration.revision}, found $written" }
    }
}

/** Returns [configuration] as the operators' program hands it to a gateway. */
internal fun offerOf(configuration: Configuration): ConfigurationOffer {
    val sections = configuration.toSections()
    val root = ConfigurationRoot(configuration.revision, writeId(configuration), sections.map { it.reference })
    return ConfigurationOffer(root.toJson(), sections.associate { it.reference.hash to it.text })
}

private fun writeId(configuration: Configuration) = "write-${configuration.revision}"
