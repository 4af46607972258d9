package org.parsleymoor.entry.serving

import org.parsleymoor.entry.ResponseStage
import org.parsleymoor.relay.cache.EngineIncarnation
import org.parsleymoor.relay.fleet.EndpointState

/**
 * Tracks one attempt at the endpoint of [state] for a prompt of [tokens] tokens, sent at [sentMillis]. Calls
 * [onAnswered] once, when the response went on after it had begun.
 */
internal class AttemptProgress(
    private val state: EndpointState,
    private val tokens: Long,
    val sentMillis: Long,
    private val onAnswered: () -> Unit,
) {
    /** The start of the endpoint that the request was sent to. */
    val incarnation: EngineIncarnation = state.incarnation

    /** Whether the request was written. */
    var sent = false

    /** Whether all slots of the endpoint were taken when the request was written. */
    var waitsForSlot = false

    /** Whether the response was read to its end, so that the connection can carry another request. */
    var complete = false

    /** Whether the head of the response has arrived. */
    var responding = false

    /** Number of events of the response that were received. */
    var events = 0
        private set

    /** Whether the response went on after it had begun. */
    var answered = false
        private set

    /** The idle timeout from the response's `Keep-Alive` field, or null. */
    var keepAliveMillis: Long? = null
    private var prefillRecorded = false

    /** How far the response has come. */
    val stage: ResponseStage get() = when {
        events > 0 -> ResponseStage.STREAMING
        responding -> ResponseStage.RESPONDING
        else -> ResponseStage.WAITING
    }

    /** Counts [count] events of a streamed response. */
    fun recordEvents(count: Int) {
        events += count
        if (events > 1) recordAnswered()
    }

    /** Records that the response went on after it had begun. */
    fun recordAnswered() {
        if (!answered) onAnswered()
        answered = true
    }

    /** Records that the endpoint sent data at [nowMillis]. */
    fun recordActivity(nowMillis: Long) {
        state.answeredMillis = nowMillis
    }

    /** Whether the endpoint has sent data for any request of this instance since [sinceMillis]. */
    fun hasActivitySince(sinceMillis: Long): Boolean = state.answeredMillis >= sinceMillis

    /** Records that the endpoint has processed the prompt; later calls have no effect. */
    fun prefillDone() {
        if (!prefillRecorded) state.prefillEnded(tokens)
        prefillRecorded = true
    }
}
