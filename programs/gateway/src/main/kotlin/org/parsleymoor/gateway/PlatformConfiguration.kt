package org.parsleymoor.gateway

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.get
import com.github.michaelbull.result.onFailure
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay
import org.parsleymoor.clients.PlatformClient
import org.parsleymoor.clients.PlatformFailure
import org.parsleymoor.clients.StoredObject
import org.parsleymoor.configuration.ConfigurationRoot
import org.parsleymoor.configuration.SectionReference
import org.parsleymoor.configuration.assembleConfiguration

/** Reads the configuration from the platform every [intervalMillis] until it is cancelled. */
internal class PlatformConfiguration(
    private val platform: PlatformClient,
    private val holder: ConfigurationHolder,
    private val intervalMillis: Long = 1_000,
) {
    private val sections = HashMap<String, String>()

    suspend fun run() {
        while (true) {
            refresh()
            delay(intervalMillis)
        }
    }

    private suspend fun refresh() {
        val root = platform.read(ConfigurationRoot.KIND, ConfigurationRoot.NAME)
            .onFailure { logger.warn { "the configuration was not read: ${it.message}" } }
            .get() ?: return
        ConfigurationRoot.parse(root.value)
            .onFailure { logger.error { "the configuration root is not in effect: ${it.message}" } }
            .get()?.let { apply(it) }
    }

    private suspend fun apply(root: ConfigurationRoot) {
        if (root.revision <= holder.revision) return
        val complete = root.sections.all { fetch(it).get() != null }
        if (!complete) return
        sections.keys.retainAll(root.sections.map { it.hash }.toSet())
        assembleConfiguration(root) { sections[it.hash] }
            .onFailure { logger.error { "revision ${root.revision} is not in effect: ${it.message}" } }
            .get()?.let { holder.accept(it) }
    }

    private suspend fun fetch(reference: SectionReference): Result<String?, PlatformFailure> {
        val known = sections[reference.hash]
        if (known != null) return Ok(known)
        return platform.read(ConfigurationRoot.KIND, reference.objectName).andThen { Ok(remember(reference, it)) }
    }

    private fun remember(reference: SectionReference, stored: StoredObject?): String? =
        stored?.value?.also { sections[reference.hash] = it }

    private companion object {
        val logger = KotlinLogging.logger {}
    }
}
