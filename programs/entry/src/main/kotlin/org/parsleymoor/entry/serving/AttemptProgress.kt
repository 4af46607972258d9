package org.parsleymoor.entry.serving

import org.parsleymoor.relay.fleet.EndpointState

/** What has been sent to [state] and received from it in one attempt with [tokens] prompt tokens. */
internal class AttemptProgress(private val state: EndpointState, private val tokens: Long) {
    /** Whether the request was written. */
    var sent = false

    /** Whether the whole response was read, so that the connection can carry another request. */
    var complete = false

    /** How long the endpoint keeps the connection open, where it says so. */
    var keepMillis: Long? = null
    private var tokensRead = false

    /** Notes that the endpoint sent something. */
    fun answered(nowMillis: Long) {
        state.answeredMillis = nowMillis
    }

    /** Whether the endpoint has sent anything to this instance since [sinceMillis]. */
    fun answeredSince(sinceMillis: Long): Boolean = state.answeredMillis >= sinceMillis

    /** Notes that the endpoint has read the prompt. */
    fun read() {
        if (!tokensRead) state.prefillEnded(tokens)
        tokensRead = true
    }
}
