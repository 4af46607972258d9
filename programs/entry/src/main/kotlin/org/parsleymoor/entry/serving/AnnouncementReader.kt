package org.parsleymoor.entry.serving

import org.parsleymoor.core.EndpointId
import org.parsleymoor.entry.net.ResponseObserver
import org.parsleymoor.entry.protocol.ControlRequest
import org.parsleymoor.entry.protocol.HeaderNames
import org.parsleymoor.relay.cache.EngineIncarnation
import org.parsleymoor.relay.fleet.SocketAddress
import org.parsleymoor.relay.fleet.at
import org.parsleymoor.relay.http.HttpStatus
import org.parsleymoor.relay.http.ResponseHead

/**
 * Reads in the heads of responses which endpoints leave, ask for a pause, or name a limit, and in those to control
 * requests how long work takes at them.
 */
internal class AnnouncementReader(
    private val deployment: DeploymentView,
    private val names: HeaderNames,
    private val pauses: PauseRecorder,
    private val limits: LimitRecorder,
    private val states: EndpointStateUpdater,
) : ResponseObserver {
    /**
     * Reads [head], the response to [pending], which was sent at [sentMillis], from the endpoint at [address] that was
     * [endpoint] then.
     */
    fun read(
        pending: PendingRequest,
        endpoint: EngineIncarnation,
        sentMillis: Long,
        address: SocketAddress,
        head: ResponseHead,
    ) {
        // Another endpoint than the expected one refuses the request with this status.
        val misdirected = head.status == HttpStatus.MISDIRECTED.code
        read(listOf(endpoint) + if (misdirected) endpointsAt(address) else emptyList(), pending.id.value, head)
        if (head.pause(names) == null) pauses.answered(endpoint)
        // A refusal may come from another part of the endpoint than the responses that name the limit.
        val isOwnAnswer = head.isSealed(names) && !head.isRefusal(names)
        if (isOwnAnswer && head.limits(names).isEmpty()) limits.notNamed(endpoint, pending.id.value, sentMillis)
    }

    override fun sent(address: SocketAddress, request: ControlRequest): (ResponseHead) -> Unit {
        val endpoints = endpointsAt(address)
        return { head ->
            states.updatePace(endpoints.mapNotNull { deployment.endpoints[it.endpoint] }, head)
            read(endpoints, "${request.method} ${request.target}", head)
        }
    }

    private fun read(endpoints: List<EngineIncarnation>, request: String, head: ResponseHead) {
        val leaving = head.leaving(names)?.let { LeavingSource.Response(request, head.status, it) }
        val pause = head.pause(names)
        val named = head.limits(names)
        if (leaving == null && pause == null && named.isEmpty()) return
        responders(endpoints, head).forEach { endpoint ->
            leaving?.let { deployment.learnLeaving(endpoint, it) }
            pause?.let { pauses.begin(endpoint, request, it) }
            if (named.isNotEmpty()) limits.named(endpoint, request, named)
        }
    }

    /** Returns those of [endpoints] that sent [head]: the one that it names, or all if it names none. */
    private fun responders(endpoints: List<EngineIncarnation>, head: ResponseHead): List<EngineIncarnation> {
        val named = head.headers[names.endpoint.endpoint]?.let(::EndpointId) ?: return endpoints
        return endpoints.filter { it.endpoint == named }
            .ifEmpty { listOfNotNull(deployment.endpoints[named]?.incarnation) }
    }

    private fun endpointsAt(address: SocketAddress): List<EngineIncarnation> =
        deployment.endpoints.at(address).map { it.incarnation }
}
