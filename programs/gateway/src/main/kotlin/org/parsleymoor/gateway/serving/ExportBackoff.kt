package org.parsleymoor.gateway.serving

import org.parsleymoor.core.EndpointId

/** Pauses exports to stores that copied nothing; each consecutive failure doubles the pause. Thread-safe. */
internal class ExportBackoff {
    private val pauses = HashMap<EndpointId, Pause>()

    @Synchronized
    fun isPaused(store: EndpointId, nowMillis: Long): Boolean =
        pauses[store]?.let { nowMillis < it.untilMillis } ?: false

    /** Records that an export to [store] copied nothing. */
    @Synchronized
    fun failed(store: EndpointId, nowMillis: Long) {
        val pauseMillis =
            pauses[store]?.let { minOf(2 * it.lengthMillis, MAXIMUM_PAUSE_MILLIS) } ?: INITIAL_PAUSE_MILLIS
        pauses[store] = Pause(nowMillis + pauseMillis, pauseMillis)
    }

    /** Records that an export to [store] copied a block. */
    @Synchronized
    fun succeeded(store: EndpointId) {
        pauses -= store
    }

    private class Pause(val untilMillis: Long, val lengthMillis: Long)

    private companion object {
        const val INITIAL_PAUSE_MILLIS = 1_000L
        const val MAXIMUM_PAUSE_MILLIS = 60_000L
    }
}
