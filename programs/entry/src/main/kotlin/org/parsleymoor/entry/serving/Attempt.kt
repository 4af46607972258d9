package org.parsleymoor.entry.serving

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getError
import kotlinx.coroutines.withTimeoutOrNull
import org.parsleymoor.entry.callers.ResponseWriter
import org.parsleymoor.entry.net.IncomingResponse
import org.parsleymoor.entry.protocol.HeaderNames
import org.parsleymoor.relay.fleet.AttemptOutcome
import org.parsleymoor.relay.fleet.SocketAddress
import org.parsleymoor.relay.fleet.isPaused
import org.parsleymoor.relay.fleet.recordOutcome
import org.parsleymoor.relay.http.HttpStatus
import org.parsleymoor.relay.http.MessageFailure
import org.parsleymoor.relay.placement.estimatedRequests
import org.parsleymoor.relay.routing.RequestKind

/** Dependencies shared by all attempts. [discardIdle] closes the idle connections to an address. */
internal class AttemptContext(
    context: ServingContext,
    val names: HeaderNames,
    val discardIdle: (SocketAddress) -> Unit,
) {
    val clock = context.clock
    val held = context.held
    val oversized = OversizedLog(context.log, context.metrics)
    val shutdown = context.shutdown
    val requestBuilder = EndpointRequestBuilder(names)
    val stateUpdater = EndpointStateUpdater(names, context.clock)
    val announcements = AnnouncementReader(
        context.deployment,
        names,
        PauseRecorder(context.deployment, context.log, context.metrics, context.clock),
        LimitRecorder(context.deployment, context.log, context.metrics, context.clock),
        stateUpdater,
    )
    val deployment = context.deployment
    val endpoints = context.deployment.endpoints
    val scopes = ScopeRecorder(context.log, context.metrics)
    val speeds = SpeedRecorder(context.deployment, context.lag, context.log, context.metrics, context.clock)
}

/** Sends [pending] to the endpoint of [exchange] once and relays the response to [writer]. */
internal class Attempt(
    private val context: AttemptContext,
    private val pending: PendingRequest,
    private val exchange: EndpointExchange,
    private val writer: ResponseWriter,
) {
    private val target = exchange.target
    private val connection = exchange.connection
    private val progress = exchange.progress
    private val clock = context.clock
    private val names = context.names
    private val state = target.endpoint
    private val reader = ResponseReader(pending, connection, names)

    /** Sends the request and suspends until the outcome is known. */
    suspend fun run(): AttemptResult {
        val remaining = pending.deadlineMillis - clock.nowMillis()
        val skipReason = when {
            remaining <= 0 -> "the request's deadline had passed"
            !pending.streamStarted && clock.nowMillis() >= pending.firstByteDeadlineMillis ->
                "the caller no longer waits for the first byte"
            !context.shutdown.covers(pending, target) -> "this instance exits too soon"
            !connection.reusable -> "the connection was closed before the request was sent"
            // It may have announced that after it was chosen.
            context.endpoints.isLeaving(progress.incarnation) -> "the endpoint leaves"
            context.endpoints.isPaused(progress.incarnation, clock.nowMillis()) -> "the endpoint asked for a pause"
            // Its cache namespace and region were chosen for the former configuration.
            target.scope != context.deployment.sendScope(pending) ->
                "the configuration changed after the endpoint was chosen"
            !context.endpoints.limits.tryTake(state, clock.nowMillis()) -> "the endpoint's limit is used up"
            else -> null
        }
        if (skipReason != null) return AttemptResult.NotRun(skipReason, sent = false)
        val head = context.requestBuilder.head(pending, target, remaining)
        val sentMillis = clock.nowMillis()
        // Counted first: a send that fails may have sent a part.
        progress.sent = true
        progress.waitsForSlot = state.estimatedRequests(sentMillis) > state.entry.slots
        pending.sendCount++
        context.scopes.sent(pending, target)
        exchange.handover.requestSent(pending.maxOverlapMillis) { state.showsLifeSince(sentMillis) }
        connection.send(pending.identity, head, pending.request.body)
        context.endpoints.pauses.requestSent(progress.incarnation, sentMillis)
        val response = ResponseAwaiter(clock, pending, exchange).await(reader, remaining)
        return response?.fold({ handleResponse(it) }, { onFault(it) })
            ?: onTimeout(clock.nowMillis() - sentMillis)
    }

    private fun onTimeout(waitedMillis: Long): AttemptResult {
        note(AttemptOutcome.SILENT)
        if (connection.requests > 1) context.discardIdle(connection.address)
        return AttemptResult.Uncertain("no response within $waitedMillis ms")
    }

    private fun onFault(fault: MessageFailure): AttemptResult {
        // Endpoints close idle connections, so the close of a reused one says little about the endpoint's health.
        val closedIdle = fault == MessageFailure.ENDED_EARLY && connection.requests > 1
        if (!closedIdle) note(AttemptOutcome.FAILED)
        return AttemptResult.Uncertain(fault.message)
    }

    private suspend fun handleResponse(response: IncomingResponse): AttemptResult {
        val head = response.head
        progress.responding = true
        context.stateUpdater.update(pending, state, head)
        context.announcements.read(pending, progress.incarnation, progress.sentMillis, connection.address, head)
        if (!head.keepsAlive) connection.noNewRequests = true
        progress.keepAliveMillis = head.keepAliveMillis
        return when {
            head.isRefusal(names) -> onRefusal(response)
            // An endpoint that asks for a pause has not failed.
            head.pause(names) != null -> AttemptResult.Uncertain(UNCONFIRMED_REFUSAL.format(head.status))
            head.status in NOT_RUN_STATUSES -> recordFailure(UNCONFIRMED_REFUSAL.format(head.status))
            head.status in SUCCESS && !head.isSealed(names) -> recordFailure("successful response without a seal")
            pending.route.kind == RequestKind.STREAM && head.isEventStream -> relayStream(response)
            pending.streamStarted -> recordFailure("status ${head.status} instead of the rest of the stream")
            else -> relayComplete(response)
        }
    }

    private suspend fun onRefusal(response: IncomingResponse): AttemptResult {
        note(AttemptOutcome.REFUSED)
        state.refusedMillis = clock.nowMillis()
        progress.complete = withTimeoutOrNull(REFUSAL_BODY_MILLIS) { reader.discardBody(response) } == true
        return AttemptResult.NotRun("endpoint refused with ${response.head.status}", sent = true)
    }

    private suspend fun relayStream(response: IncomingResponse): AttemptResult {
        val relay = StreamRelay(context, pending, exchange, writer)
        val result = relay.relay(response, response.head.toCallerHead(names))
        note(if (result is AttemptResult.Delivered) AttemptOutcome.ANSWERED else AttemptOutcome.FAILED)
        return result
    }

    private suspend fun relayComplete(response: IncomingResponse): AttemptResult {
        val body = pending.holdBody(context.held)
        val read = withTimeoutOrNull(pending.deadlineMillis - clock.nowMillis()) { reader.body(response, body) }
        if (read?.isOk != true) {
            val fault = read?.getError()
            val isSmall = body.size <= SMALL_BODY_BYTES
            body.release()
            if (fault in OVERSIZED) context.oversized.record(pending, progress.incarnation, checkNotNull(fault))
            val reason = fault?.message ?: "the response body was incomplete"
            // That a small response finds no room is no fault of its endpoint.
            return if (fault == MessageFailure.NO_ROOM && isSmall) {
                AttemptResult.Uncertain(reason)
            } else {
                recordFailure(reason)
            }
        }
        progress.complete = true
        val head = response.head.toCallerHead(names)
        val failure = head.status in SERVER_FAILURES
        note(if (failure) AttemptOutcome.FAILED else AttemptOutcome.ANSWERED)
        if (head.status in SUCCESS) context.speeds.ran(pending, exchange, state.load)
        exchange.endpointDone()
        if (!failure) {
            exchange.handover.takeOver()
            writer.writeResponse(head, body)
        }
        return if (failure) AttemptResult.Failed(head, body) else AttemptResult.Delivered(head.status)
    }

    private fun recordFailure(reason: String): AttemptResult {
        note(AttemptOutcome.FAILED)
        return AttemptResult.Uncertain(reason)
    }

    private fun note(evidence: AttemptOutcome) {
        state.recordOutcome(evidence, clock.nowMillis())
    }

    private companion object {
        const val REFUSAL_BODY_MILLIS = 200L
        const val SMALL_BODY_BYTES = 65_536
        val OVERSIZED = setOf(MessageFailure.BODY_TOO_LARGE, MessageFailure.NO_ROOM)
        const val UNCONFIRMED_REFUSAL = "status %d without the header field that confirms the request was not run"

        // Callers read these statuses as "not run". An endpoint has to confirm that with a header field.
        val NOT_RUN_STATUSES = setOf(HttpStatus.REQUEST_TIMEOUT, HttpStatus.TOO_MANY_REQUESTS, HttpStatus.UNAVAILABLE)
            .map { it.code }
        val SUCCESS = 200..299
        val SERVER_FAILURES = 500..599
    }
}
