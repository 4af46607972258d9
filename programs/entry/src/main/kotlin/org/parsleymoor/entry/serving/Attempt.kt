package org.parsleymoor.entry.serving

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import kotlinx.coroutines.withTimeoutOrNull
import org.parsleymoor.entry.callers.CallerAnswer
import org.parsleymoor.entry.net.EndpointConnection
import org.parsleymoor.entry.net.IncomingResponse
import org.parsleymoor.entry.net.message
import org.parsleymoor.entry.protocol.HeaderNames
import org.parsleymoor.relay.fleet.AttemptOutcome
import org.parsleymoor.relay.fleet.SocketAddress
import org.parsleymoor.relay.fleet.recordOutcome
import org.parsleymoor.relay.http.HttpStatus
import org.parsleymoor.relay.http.MessageFailure
import org.parsleymoor.relay.routing.RequestKind

/** What all attempts use. */
internal class AttemptTools(
    context: ServingContext,
    val names: HeaderNames,
    val discardIdle: (SocketAddress) -> Unit,
) {
    val clock = context.clock
    val requests = EndpointRequest(names)
    val learning = EndpointLearning(names, context.clock)
}

/** One request of [work] to [target] over [connection], and the passing on of its response to [answer]. */
internal class Attempt(
    private val tools: AttemptTools,
    private val work: Work,
    private val target: Target,
    private val connection: EndpointConnection,
    private val answer: CallerAnswer,
    private val progress: AttemptProgress,
) {
    private val clock = tools.clock
    private val names = tools.names
    private val state = target.endpoint
    private val reader = ResponseReader(work, connection, names)

    /** Sends the request and suspends until the outcome is known. */
    suspend fun run(): AttemptResult {
        val remaining = work.limitMillis - clock.nowMillis()
        val obstacle = when {
            remaining <= 0 -> "no time was left"
            !work.started && clock.nowMillis() >= work.beginLimitMillis -> "the caller no longer waits"
            !connection.reusable -> "the connection ended before it was used"
            else -> null
        }
        if (obstacle != null) return AttemptResult.NotRun(obstacle, sent = false)
        connection.send(message(tools.requests.head(work, target, remaining), work.request.body))
        progress.sent = true
        work.sends++
        val patience = work.patienceMillis(target, remaining)
        return awaitResponse(patience)?.fold({ judge(it) }, { broken(it) }) ?: silent(patience)
    }

    /** Waits for the response; gives up after [patience], and sooner when the endpoint answers nobody. */
    private suspend fun awaitResponse(patience: Long): Result<IncomingResponse, MessageFailure>? {
        val sentMillis = clock.nowMillis()
        return withTimeoutOrNull(patience) {
            val first = withTimeoutOrNull(minOf(patience, work.silenceMillis(target))) { reader.head() }
            if (first == null && state.answeredMillis >= sentMillis) reader.head() else first
        }
    }

    private fun silent(patience: Long): AttemptResult {
        note(AttemptOutcome.SILENT)
        if (connection.requests > 1) tools.discardIdle(connection.address)
        return AttemptResult.Uncertain("no response within $patience ms")
    }

    private fun broken(fault: MessageFailure): AttemptResult {
        // An endpoint closes idle connections; that one of them was closed under a request says little of its health.
        val closedIdle = fault == MessageFailure.ENDED_EARLY && connection.requests > 1
        if (!closedIdle) note(AttemptOutcome.FAILED)
        return AttemptResult.Uncertain(fault.message)
    }

    private suspend fun judge(response: IncomingResponse): AttemptResult {
        val head = response.head
        tools.learning.learn(work, state, head)
        if (!head.keepsAlive) connection.spoiled = true
        progress.keepMillis = head.keepAliveMillis
        return when {
            head.isRefusal(names) -> refusal(response)
            head.status in PROMISES -> failed("unconfirmed refusal ${head.status}")
            head.status in SUCCESS && !head.isSealed(names) -> failed("success without a seal")
            work.route.kind == RequestKind.STREAM && head.isEventStream -> stream(response)
            else -> whole(response)
        }
    }

    private suspend fun refusal(response: IncomingResponse): AttemptResult {
        note(AttemptOutcome.REFUSED)
        state.refusedMillis = clock.nowMillis()
        progress.complete = withTimeoutOrNull(REFUSAL_BODY_MILLIS) { reader.body(response) } != null
        return AttemptResult.NotRun("endpoint refused with ${response.head.status}", sent = true)
    }

    private suspend fun stream(response: IncomingResponse): AttemptResult {
        val relay = StreamRelay(clock, work, connection, answer, progress)
        val result = relay.relay(response, response.head.toAnswer(names))
        note(if (result is AttemptResult.Delivered) AttemptOutcome.ANSWERED else AttemptOutcome.FAILED)
        return result
    }

    private suspend fun whole(response: IncomingResponse): AttemptResult {
        val body = withTimeoutOrNull(work.limitMillis - clock.nowMillis()) { reader.body(response) }
            ?: return failed("the answer broke off")
        progress.complete = true
        val head = response.head.toAnswer(names)
        val failure = head.status in SERVER_FAILURES
        note(if (failure) AttemptOutcome.FAILED else AttemptOutcome.ANSWERED)
        if (!failure) answer.whole(head, body)
        return if (failure) AttemptResult.Failed(head, body) else AttemptResult.Delivered(head.status)
    }

    private fun failed(reason: String): AttemptResult {
        note(AttemptOutcome.FAILED)
        return AttemptResult.Uncertain(reason)
    }

    private fun note(evidence: AttemptOutcome) {
        state.recordOutcome(evidence, clock.nowMillis())
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
