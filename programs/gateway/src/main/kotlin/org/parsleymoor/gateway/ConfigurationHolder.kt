package org.parsleymoor.gateway

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.map
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.coroutines.flow.update
import org.parsleymoor.clients.ConfigurationOffer
import org.parsleymoor.configuration.Configuration
import org.parsleymoor.configuration.ConfigurationRoot
import org.parsleymoor.configuration.SectionFailure
import org.parsleymoor.configuration.assembleConfiguration

/** The configuration in effect. A lower revision than the one in effect is never applied (I11). */
internal class ConfigurationHolder {
    private val state = MutableStateFlow<ServingView?>(null)

    /** Told of every configuration that the operators' program hands over, so that it can be passed on to peers. */
    @Volatile
    var onOffer: (ConfigurationRoot, Map<String, String>) -> Unit = { _, _ -> }

    /** The view in effect, null until the first configuration. */
    val current: ServingView? get() = state.value

    /** Emits each view that comes into effect. */
    val changes: StateFlow<ServingView?> = state.asStateFlow()

    /** The revision in effect, 0 for none. */
    val revision: Long get() = state.value?.configuration?.revision ?: 0

    /** Puts [configuration] into effect unless its revision is not higher; returns the revision in effect. */
    fun accept(configuration: Configuration): Long {
        val view = ServingView(configuration)
        state.update { old -> if (old == null || old.configuration.revision < configuration.revision) view else old }
        return revision
    }

    /** Puts the offered configuration together and accepts it; returns the revision in effect. */
    fun offer(offer: ConfigurationOffer): Result<Long, SectionFailure> =
        ConfigurationRoot.parse(offer.root)
            .andThen { root -> assembleConfiguration(root) { offer.sections[it.hash] }.map { root to it } }
            .map { (root, configuration) -> accept(configuration).also { onOffer(root, offer.sections) } }
}
