package org.parsleymoor.entry.serving

import org.parsleymoor.core.Clock
import org.parsleymoor.entry.protocol.HeaderNames
import org.parsleymoor.relay.fleet.EndpointState
import org.parsleymoor.relay.fleet.ReportedLoad
import org.parsleymoor.relay.http.ResponseHead

/** Updates the state of an endpoint from the heads of its responses. */
internal class EndpointStateUpdater(private val names: HeaderNames, private val clock: Clock) {
    /** Updates [state] from [head], the response of that endpoint to [pending]. */
    fun update(pending: PendingRequest, state: EndpointState, head: ResponseHead) {
        val nowMillis = clock.nowMillis()
        state.answeredMillis = nowMillis
        head.headers[names.endpoint.load]?.let { reportedLoad(it, nowMillis) }?.let { state.load = it }
        head.headers[names.endpoint.coldMillis]?.toLongOrNull()?.let { state.becomeCold(it, nowMillis) }
        val weights = head.headers[names.endpoint.weights]?.toLongOrNull()
        if (pending.prompt != null && weights != null) state.learnWeights(pending.prompt.model, weights)
    }

    private fun reportedLoad(text: String, nowMillis: Long): ReportedLoad? {
        val counts = text.split(',').mapNotNull { it.trim().toIntOrNull() }
        return if (counts.size < LOAD_COUNTS) null else ReportedLoad(counts[0], counts[1], counts[2], nowMillis)
    }

    private companion object {
        const val LOAD_COUNTS = 3
    }
}
