package org.parsleymoor.entry.serving

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.parsleymoor.core.Clock
import org.parsleymoor.entry.callers.AnswerHead
import org.parsleymoor.entry.callers.CallerAnswer
import org.parsleymoor.entry.net.CONNECTION_FIELDS
import org.parsleymoor.entry.net.ConnectFailure
import org.parsleymoor.entry.net.ConnectionPool
import org.parsleymoor.entry.net.EndpointConnection
import org.parsleymoor.entry.net.IncomingResponse
import org.parsleymoor.entry.net.message
import org.parsleymoor.entry.protocol.HeaderNames
import org.parsleymoor.relay.fleet.AttemptEvidence
import org.parsleymoor.relay.fleet.EndpointState
import org.parsleymoor.relay.fleet.ReportedLoad
import org.parsleymoor.relay.fleet.SentPrompt
import org.parsleymoor.relay.http.BodyProgress
import org.parsleymoor.relay.http.HeaderField
import org.parsleymoor.relay.http.ResponseHead
import org.parsleymoor.relay.routing.RequestKind
import java.io.ByteArrayOutputStream

/** Sends requests to endpoints and passes their answers on. Confined to the event loop. */
internal class Attempts(
    private val pool: ConnectionPool,
    private val beliefs: Beliefs,
    private val names: HeaderNames,
    private val clock: Clock,
    private val scope: CoroutineScope,
) {
    private val requests = EndpointRequest(names)
    private val relay = StreamRelay(clock)

    /** Sends [work] to [target] and, where it succeeds, writes the answer; suspends until the outcome is known. */
    suspend fun run(work: Work, target: Target, answer: CallerAnswer): AttemptResult {
        val state = target.endpoint
        val connection = connect(work, state).getOrElse { return notConnected(state, it) }
        val tokens = work.prompt?.promptTokens ?: 0
        val progress = Progress(state, tokens)
        var handedOver = false
        beliefs.endpoints.started(state, tokens)
        if (work.prompt != null) beliefs.sent(state, SentPrompt(clock.nowMillis(), tokens, target.tokensToRead))
        try {
            return exchange(work, target, connection, answer, progress)
        } catch (cancelled: CancellationException) {
            handedOver = finishLater(work, connection, progress)
            throw cancelled
        } finally {
            progress.read()
            beliefs.endpoints.ended(state)
            if (!handedOver) settle(connection, progress)
        }
    }

    private suspend fun connect(work: Work, state: EndpointState): Result<EndpointConnection, ConnectFailure> {
        val address = state.entry.address
        pool.takeIdle(address)?.let { return Ok(it) }
        val remaining = work.limitMillis - clock.nowMillis()
        val limit = maxOf(MINIMAL_CONNECTIONS, work.service.connectionLimit / beliefs.instances)
        return pool.connect(address, limit, minOf(remaining / 2, CONNECT_MILLIS).coerceAtLeast(1))
    }

    private fun notConnected(state: EndpointState, failure: ConnectFailure): AttemptResult {
        if (failure != ConnectFailure.AT_LIMIT) note(state, AttemptEvidence.UNREACHABLE)
        return AttemptResult.NotRun(failure.message, sent = false)
    }

    private suspend fun exchange(
        work: Work,
        target: Target,
        connection: EndpointConnection,
        answer: CallerAnswer,
        progress: Progress,
    ): AttemptResult {
        val remaining = work.limitMillis - clock.nowMillis()
        if (remaining <= 0) return AttemptResult.NotRun("no time was left", sent = false)
        connection.send(message(requests.head(work, target, remaining), work.request.body))
        progress.sent = true
        work.sends++
        val patience = firstByteMillis(work, target).coerceAtMost(remaining)
        val response = awaitResponse(work, target, connection, patience)
        return response?.fold(
            { judge(work, target, connection, it, answer, progress) },
            { broken(target.endpoint, connection, it) },
        ) ?: silent(target.endpoint, connection, patience)
    }

    /** Waits for the response; gives up after [patience], and sooner when the endpoint answers nobody. */
    private suspend fun awaitResponse(
        work: Work,
        target: Target,
        connection: EndpointConnection,
        patience: Long,
    ): Result<IncomingResponse, String>? {
        val sentMillis = clock.nowMillis()
        return withTimeoutOrNull(patience) {
            val first = withTimeoutOrNull(
                minOf(patience, silenceMillis(work, target))
            ) { ownResponse(connection, work) }
            val endpointAnswers = target.endpoint.answeredMillis >= sentMillis
            if (first == null && endpointAnswers) ownResponse(connection, work) else first
        }
    }

    private fun silenceMillis(work: Work, target: Target): Long =
        if (work.prompt == null || !work.route.repeatable) {
            Long.MAX_VALUE / 2
        } else {
            maxOf(ENGINE_SILENCE_MILLIS, target.estimateMillis.toLong() * 2)
        }

    private fun silent(state: EndpointState, connection: EndpointConnection, patience: Long): AttemptResult {
        note(state, AttemptEvidence.SILENT)
        if (connection.requests > 1) pool.discardIdle(connection.address)
        return AttemptResult.Uncertain("no response within $patience ms")
    }

    private fun broken(state: EndpointState, connection: EndpointConnection, reason: String): AttemptResult {
        // An endpoint closes idle connections; that one of them was closed under a request says little of its health.
        if (connection.requests <= 1) note(state, AttemptEvidence.FAILED)
        return AttemptResult.Uncertain(reason)
    }

    /** Reads the response to [work], passing over responses to other requests that arrive late. */
    private suspend fun ownResponse(connection: EndpointConnection, work: Work): Result<IncomingResponse, String> {
        while (true) {
            val response = connection.readResponse(work.request.head.method).getOrElse { return Err(it.message) }
            val echoed = response.head.headers[names.caller.attemptId]
            if (echoed == null || echoed == work.id.value) return Ok(response)
            connection.spoiled = true
            while (response.decoder.progress == BodyProgress.INCOMPLETE) connection.readPart(response)
        }
    }

    private suspend fun judge(
        work: Work,
        target: Target,
        connection: EndpointConnection,
        response: IncomingResponse,
        answer: CallerAnswer,
        progress: Progress,
    ): AttemptResult {
        val head = response.head
        learn(work, target.endpoint, head)
        if (!head.keepsAlive) connection.spoiled = true
        val refused = head.headers[names.endpoint.notRun] != null || head.status == MISDIRECTED
        return when {
            refused -> refusal(target.endpoint, connection, response, progress)
            head.status in PROMISES -> failed(target.endpoint, "unconfirmed refusal ${head.status}")
            head.status in SUCCESS && !isSealed(head) -> failed(target.endpoint, "success without a seal")
            isStream(work, head) -> relay.relay(work, connection, response, answer, answerHead(head), progress)
                .also { noteStream(target.endpoint, it) }
            else -> whole(work, target.endpoint, connection, response, answer, progress)
        }
    }

    private suspend fun refusal(
        state: EndpointState,
        connection: EndpointConnection,
        response: IncomingResponse,
        progress: Progress,
    ): AttemptResult {
        note(state, AttemptEvidence.REFUSED)
        state.refusedMillis = clock.nowMillis()
        val body = withTimeoutOrNull(REFUSAL_BODY_MILLIS) { readWhole(connection, response) }
        progress.complete = body != null
        return AttemptResult.NotRun("endpoint refused with ${response.head.status}", sent = true)
    }

    private suspend fun whole(
        work: Work,
        state: EndpointState,
        connection: EndpointConnection,
        response: IncomingResponse,
        answer: CallerAnswer,
        progress: Progress,
    ): AttemptResult {
        val remaining = work.limitMillis - clock.nowMillis()
        val body = withTimeoutOrNull(remaining) { readWhole(connection, response) }
            ?: return failed(state, "the answer broke off")
        progress.complete = true
        val head = answerHead(response.head)
        if (head.status in SERVER_FAILURES) {
            note(state, AttemptEvidence.FAILED)
            return AttemptResult.Failed(head, body)
        }
        note(state, AttemptEvidence.ANSWERED)
        answer.whole(head, body)
        return AttemptResult.Delivered(head.status)
    }

    private suspend fun readWhole(connection: EndpointConnection, response: IncomingResponse): ByteArray? {
        val body = ByteArrayOutputStream()
        while (response.decoder.progress == BodyProgress.INCOMPLETE) body.writeBytes(connection.readPart(response))
        return body.toByteArray().takeIf { response.decoder.progress == BodyProgress.COMPLETE }
    }

    private fun failed(state: EndpointState, reason: String): AttemptResult {
        note(state, AttemptEvidence.FAILED)
        return AttemptResult.Uncertain(reason)
    }

    private fun noteStream(state: EndpointState, result: AttemptResult) {
        note(state, if (result is AttemptResult.Delivered) AttemptEvidence.ANSWERED else AttemptEvidence.FAILED)
    }

    private fun note(state: EndpointState, evidence: AttemptEvidence) {
        beliefs.endpoints.note(state, evidence, clock.nowMillis())
    }

    private fun learn(work: Work, state: EndpointState, head: ResponseHead) {
        val nowMillis = clock.nowMillis()
        state.answeredMillis = nowMillis
        head.headers[names.endpoint.load]?.let { reportedLoad(it, nowMillis) }?.let { state.load = it }
        head.headers[names.endpoint.coldMillis]?.toLongOrNull()?.let { state.becomeCold(it, nowMillis) }
        val weights = head.headers[names.endpoint.weights]?.toLongOrNull()
        if (work.prompt != null && weights != null) state.learnWeights(work.prompt.model, weights)
    }

    private fun reportedLoad(text: String, nowMillis: Long): ReportedLoad? {
        val counts = text.split(',').map { it.trim().toIntOrNull() ?: return null }
        return if (counts.size < LOAD_COUNTS) null else ReportedLoad(counts[0], counts[1], counts[2], nowMillis)
    }

    private fun isSealed(head: ResponseHead): Boolean =
        head.headers[names.endpoint.seal] != null && head.headers[names.caller.attemptId] != null

    private fun isStream(work: Work, head: ResponseHead): Boolean =
        work.route.kind == RequestKind.STREAM && head.status in SUCCESS &&
            head.headers["Content-Type"].orEmpty().startsWith("text/event-stream")

    private fun answerHead(head: ResponseHead): AnswerHead = AnswerHead(
        status = head.status,
        reason = head.reason,
        fields = head.headers.fields.filterNot { field ->
            val name = field.name.lowercase()
            name in CONNECTION_FIELDS || name == names.endpoint.load.lowercase() || name == "connection"
        }.map { HeaderField(it.name, it.value) },
    )

    /** Waits for the response of a request that must not be cut off when its caller leaves; returns whether it does. */
    private fun finishLater(work: Work, connection: EndpointConnection, progress: Progress): Boolean {
        if (!progress.sent || progress.complete || work.route.kind != RequestKind.NON_IDEMPOTENT) return false
        scope.launch {
            val remaining = work.limitMillis - clock.nowMillis()
            withTimeoutOrNull(remaining) {
                ownResponse(connection, work).map { progress.complete = readWhole(connection, it) != null }
            }
            settle(connection, progress)
        }
        return true
    }

    private fun settle(connection: EndpointConnection, progress: Progress) {
        if (progress.complete || !progress.sent) {
            pool.giveBack(connection, progress.keepMillis)
        } else {
            connection.close()
        }
    }

    private fun firstByteMillis(work: Work, target: Target): Long {
        val remaining = work.limitMillis - clock.nowMillis()
        val mayMove = work.route.repeatable && work.runs + 1 < work.route.attempts
        if (!mayMove || work.prompt != null) return remaining
        val expected = maxOf(target.estimateMillis * SILENCE_FACTOR, work.route.objectiveMillis * SILENCE_OBJECTIVES)
        return expected.toLong().coerceAtMost(remaining)
    }

    /** What has been sent and received of one attempt. */
    internal inner class Progress(private val state: EndpointState, private val tokens: Long) {
        var sent = false
        var complete = false
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
            if (!tokensRead) beliefs.endpoints.read(state, tokens)
            tokensRead = true
        }
    }

    private companion object {
        // Establishing a connection takes one round trip, at most some 40 ms between regions, unless packets are lost.
        const val CONNECT_MILLIS = 700L
        const val MINIMAL_CONNECTIONS = 2
        const val REFUSAL_BODY_MILLIS = 200L
        const val MISDIRECTED = 421
        const val LOAD_COUNTS = 3

        // Statuses that promise a caller that its request has not run; endpoints confirm that by a field of their own.
        val PROMISES = setOf(408, 421, 429, 503)
        val SUCCESS = 200..299
        val SERVER_FAILURES = 500..599

        // An endpoint that takes this many times the estimate, and this many objectives, is taken to be silent.
        const val SILENCE_FACTOR = 4.0
        const val SILENCE_OBJECTIVES = 1.5

        // An engine under load answers some request of an instance more often than this.
        const val ENGINE_SILENCE_MILLIS = 1_500L
    }
}
