package org.parsleymoor.gateway.serving

import org.parsleymoor.core.EndpointId

/** Holds back exports to stores that took nothing; each failure in a row doubles the pause. Safe from any thread. */
internal class ExportBackoff {
    private val pauses = HashMap<EndpointId, Pause>()

    @Synchronized
    fun isPaused(store: EndpointId, nowMillis: Long): Boolean =
        pauses[store]?.let { nowMillis < it.untilMillis } ?: false

    /** An export to [store] copied nothing. */
    @Synchronized
    fun failed(store: EndpointId, nowMillis: Long) {
        val length = pauses[store]?.let { minOf(2 * it.lengthMillis, LONGEST_MILLIS) } ?: FIRST_MILLIS
        pauses[store] = Pause(nowMillis + length, length)
    }

    /** An export to [store] copied a block. */
    @Synchronized
    fun succeeded(store: EndpointId) {
        pauses -= store
    }

    private class Pause(val untilMillis: Long, val lengthMillis: Long)

    private companion object {
        const val FIRST_MILLIS = 1_000L
        const val LONGEST_MILLIS = 60_000L
    }
}
