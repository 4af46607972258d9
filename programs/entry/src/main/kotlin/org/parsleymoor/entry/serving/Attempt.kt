package org.parsleymoor.entry.serving

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import kotlinx.coroutines.withTimeoutOrNull
import org.parsleymoor.entry.callers.ResponseWriter
import org.parsleymoor.entry.net.EndpointConnection
import org.parsleymoor.entry.net.IncomingResponse
import org.parsleymoor.entry.net.message
import org.parsleymoor.entry.protocol.HeaderNames
import org.parsleymoor.relay.fleet.AttemptEvidence
import org.parsleymoor.relay.fleet.SocketAddress
import org.parsleymoor.relay.fleet.note
import org.parsleymoor.relay.http.HttpStatus
import org.parsleymoor.relay.http.MessageFault
import org.parsleymoor.relay.routing.RequestKind

/** What all attempts use. */
internal class AttemptContext(
    context: ServingContext,
    val names: HeaderNames,
    val discardIdle: (SocketAddress) -> Unit,
) {
    val clock = context.clock
    val requests = EndpointRequest(names)
    val learning = EndpointStateUpdater(names, context.clock)
}

/** One request of [pending] to [target] over [connection], and the passing on of its response to [answer]. */
internal class Attempt(
    private val tools: AttemptContext,
    private val pending: PendingRequest,
    private val target: Target,
    private val connection: EndpointConnection,
    private val answer: ResponseWriter,
    private val progress: AttemptProgress,
) {
    private val clock = tools.clock
    private val names = tools.names
    private val state = target.endpoint
    private val reader = ResponseReader(pending, connection, names)

    /** Sends the request and suspends until the outcome is known. */
    suspend fun run(): AttemptResult {
        val remaining = pending.deadlineMillis - clock.nowMillis()
        val obstacle = when {
            remaining <= 0 -> "no time was left"
            !pending.started && clock.nowMillis() >= pending.firstByteDeadlineMillis -> "the caller no longer waits"
            !connection.reusable -> "the connection ended before it was used"
            else -> null
        }
        if (obstacle != null) return AttemptResult.NotRun(obstacle, sent = false)
        connection.send(message(tools.requests.head(pending, target, remaining), pending.request.body))
        progress.sent = true
        pending.sendCount++
        val patience = pending.responseTimeoutMillis(target, remaining)
        return awaitResponse(patience)?.fold({ judge(it) }, { broken(it) }) ?: silent(patience)
    }

    /** Waits for the response; gives up after [patience], and sooner when the endpoint answers nobody. */
    private suspend fun awaitResponse(patience: Long): Result<IncomingResponse, MessageFault>? {
        val sentMillis = clock.nowMillis()
        return withTimeoutOrNull(patience) {
            val first = withTimeoutOrNull(minOf(patience, pending.silenceTimeoutMillis(target))) { reader.head() }
            if (first == null && state.answeredMillis >= sentMillis) reader.head() else first
        }
    }

    private fun silent(patience: Long): AttemptResult {
        note(AttemptEvidence.SILENT)
        if (connection.requests > 1) tools.discardIdle(connection.address)
        return AttemptResult.Uncertain("no response within $patience ms")
    }

    private fun broken(fault: MessageFault): AttemptResult {
        // An endpoint closes idle connections; that one of them was closed under a request says little of its health.
        val closedIdle = fault == MessageFault.ENDED_EARLY && connection.requests > 1
        if (!closedIdle) note(AttemptEvidence.FAILED)
        return AttemptResult.Uncertain(fault.message)
    }

    private suspend fun judge(response: IncomingResponse): AttemptResult {
        val head = response.head
        tools.learning.learn(pending, state, head)
        if (!head.keepsAlive) connection.noNewRequests = true
        progress.keepAliveMillis = head.keepAliveMillis
        return when {
            head.isRefusal(names) -> refusal(response)
            head.status in PROMISES -> failed("unconfirmed refusal ${head.status}")
            head.status in SUCCESS && !head.isSealed(names) -> failed("success without a seal")
            pending.route.kind == RequestKind.STREAM && head.isEventStream -> stream(response)
            else -> relayComplete(response)
        }
    }

    private suspend fun refusal(response: IncomingResponse): AttemptResult {
        note(AttemptEvidence.REFUSED)
        state.refusedMillis = clock.nowMillis()
        progress.complete = withTimeoutOrNull(REFUSAL_BODY_MILLIS) { reader.body(response) } != null
        return AttemptResult.NotRun("endpoint refused with ${response.head.status}", sent = true)
    }

    private suspend fun stream(response: IncomingResponse): AttemptResult {
        val relay = StreamRelay(clock, pending, connection, answer, progress)
        val result = relay.relay(response, response.head.toAnswer(names))
        note(if (result is AttemptResult.Delivered) AttemptEvidence.ANSWERED else AttemptEvidence.FAILED)
        return result
    }

    private suspend fun relayComplete(response: IncomingResponse): AttemptResult {
        val body = withTimeoutOrNull(pending.deadlineMillis - clock.nowMillis()) { reader.body(response) }
            ?: return failed("the answer broke off")
        progress.complete = true
        val head = response.head.toAnswer(names)
        val failure = head.status in SERVER_FAILURES
        note(if (failure) AttemptEvidence.FAILED else AttemptEvidence.ANSWERED)
        if (!failure) answer.writeResponse(head, body)
        return if (failure) AttemptResult.Failed(head, body) else AttemptResult.Delivered(head.status)
    }

    private fun failed(reason: String): AttemptResult {
        note(AttemptEvidence.FAILED)
        return AttemptResult.Uncertain(reason)
    }

    private fun note(evidence: AttemptEvidence) {
        state.note(evidence, clock.nowMillis())
    }

    private companion object {
        const val REFUSAL_BODY_MILLIS = 200L

        // Statuses that promise a caller that its request has not run; endpoints confirm that by a field of their own.
        val PROMISES = setOf(HttpStatus.REQUEST_TIMEOUT, HttpStatus.TOO_MANY_REQUESTS, HttpStatus.UNAVAILABLE)
            .map { it.code }
        val SUCCESS = 200..299
        val SERVER_FAILURES = 500..599
    }
}
