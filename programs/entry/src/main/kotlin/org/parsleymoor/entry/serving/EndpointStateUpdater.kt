package org.parsleymoor.entry.serving

import org.parsleymoor.core.Clock
import org.parsleymoor.core.EndpointId
import org.parsleymoor.entry.protocol.HeaderNames
import org.parsleymoor.relay.fleet.EndpointState
import org.parsleymoor.relay.fleet.ReportedLoad
import org.parsleymoor.relay.http.ResponseHead
import kotlin.math.roundToInt

/** Updates the state of an endpoint from the heads of its responses. */
internal class EndpointStateUpdater(private val names: HeaderNames, private val clock: Clock) {
    /** Updates [state] from [head], the response of that endpoint to [pending]. */
    fun update(pending: PendingRequest, state: EndpointState, head: ResponseHead) {
        val nowMillis = clock.nowMillis()
        state.answeredMillis = nowMillis
        reportedLoad(head, nowMillis)?.let { state.load = it }
        head.headers[names.endpoint.coldMillis]?.toLongOrNull()?.let { state.becomeCold(it, nowMillis) }
        val weights = head.headers[names.endpoint.weights]?.toLongOrNull()
        if (pending.prompt != null && weights != null) state.learnWeights(pending.prompt.model, weights)
    }

    /** Updates those of [states] that sent [head], the response to a control request, if it states their pace. */
    fun updatePace(states: List<EndpointState>, head: ResponseHead) {
        val load = reportedLoad(head, clock.nowMillis())?.takeIf { it.pacePercent != null } ?: return
        val sender = head.headers[names.endpoint.endpoint]?.let(::EndpointId)
        states.filter { sender == null || it.entry.id == sender }.forEach { it.load = load }
    }

    private fun reportedLoad(head: ResponseHead, nowMillis: Long): ReportedLoad? {
        val figures = head.headers[names.endpoint.load].orEmpty().split(',').map { it.trim() }
        val counts = figures.take(LOAD_COUNTS).mapNotNull { it.toIntOrNull() }
        val pace = figures.getOrNull(LOAD_COUNTS)?.toDoubleOrNull()?.takeIf { it > 0 && it.isFinite() }?.roundToInt()
        return if (counts.size < LOAD_COUNTS) null else ReportedLoad(counts[0], counts[1], counts[2], nowMillis, pace)
    }

    private companion object {
        const val LOAD_COUNTS = 3
    }
}
