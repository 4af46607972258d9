package org.parsleymoor.entry.serving

import org.parsleymoor.entry.ResponseStage
import org.parsleymoor.relay.fleet.EndpointState

/** Tracks one attempt at the endpoint of [state] for a prompt of [tokens] tokens. */
internal class AttemptProgress(private val state: EndpointState, private val tokens: Long) {
    /** Whether the request was written. */
    var sent = false

    /** Whether the response was read to its end, so that the connection can carry another request. */
    var complete = false

    /** Whether the head of the response has arrived. */
    var responding = false

    /** Number of events of the response that were received. */
    var events = 0

    /** The idle timeout from the response's `Keep-Alive` field, or null. */
    var keepAliveMillis: Long? = null
    private var prefillRecorded = false

    /** How far the response has come. */
    val stage: ResponseStage get() = when {
        events > 0 -> ResponseStage.STREAMING
        responding -> ResponseStage.RESPONDING
        else -> ResponseStage.WAITING
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
