package org.parsleymoor.standins

import io.vertx.core.Vertx
import io.vertx.core.VertxException
import io.vertx.ext.web.client.WebClient
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.delay
import org.parsleymoor.clients.HttpAddress
import org.parsleymoor.clients.LoadedVersion
import java.io.IOException

/** Loads the weights of a version, from the weight store when the settings name one. */
internal class WeightLoad(private val vertx: Vertx, private val settings: EngineSettings) {
    /** Suspends until the weights are complete; a load that breaks is tried again. */
    suspend fun run(version: LoadedVersion) {
        if (settings.weightStore.isEmpty()) return delay(settings.weightLoadMillis)
        val web = WebClient.create(vertx)
        val store = HttpAddress.parse(settings.weightStore)
        while (!fetch(web, store, version)) delay(RETRY_MILLIS)
        web.close()
    }

    private suspend fun fetch(web: WebClient, store: HttpAddress, version: LoadedVersion): Boolean = try {
        val path = "/v1/weights/${version.model}/${version.version}"
        web.get(store.port, store.host, path).send().coAwait().statusCode() == HttpStatus.OK
    } catch (_: IOException) {
        false
    } catch (_: VertxException) {
        false
    }

    private companion object {
        const val RETRY_MILLIS = 200L
    }
}
