package org.parsleymoor.entry.serving

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.put
import org.parsleymoor.entry.callers.ResponseWriter
import org.parsleymoor.entry.net.ConnectFailure
import org.parsleymoor.entry.net.ConnectionPool
import org.parsleymoor.entry.net.EndpointConnection
import org.parsleymoor.entry.protocol.HeaderNames
import org.parsleymoor.relay.fleet.AttemptOutcome
import org.parsleymoor.relay.fleet.EndpointState
import org.parsleymoor.relay.fleet.SentPrompt
import org.parsleymoor.relay.fleet.recordOutcome
import org.parsleymoor.relay.routing.RequestKind

/** Runs attempts on pooled connections. Confined to the event loop. */
internal class AttemptRunner(
    private val context: ServingContext,
    private val pool: ConnectionPool,
    private val names: HeaderNames,
    private val scope: CoroutineScope,
    private val quarantine: QuarantineGate,
) {
    private val deployment = context.deployment
    private val clock = context.clock
    private val releases = ReleaseRecorder(context)
    private val attemptContext = AttemptContext(context, names, pool::discardIdle)

    /**
     * Sends [pending] to [target] and relays a successful response to [writer]; suspends until the outcome is known.
     * While the endpoint is silent, [handover] sends the request to another one too.
     */
    suspend fun run(
        pending: PendingRequest,
        target: Target,
        writer: ResponseWriter,
        handover: Handover,
    ): AttemptResult {
        val state = target.endpoint
        val connection = connect(pending, state).getOrElse { return notConnected(state, it) }
        val tokens = pending.prompt?.promptTokens ?: 0
        val progress =
            AttemptProgress(state, tokens, clock.nowMillis()) { quarantine.recordProgress(pending) }
        var drainingInBackground = false
        var doneMillis: Long? = null
        val observation = releases.observe(pending, target)
        val endpointDone = {
            if (doneMillis == null) {
                doneMillis = clock.nowMillis()
                progress.prefillDone()
                state.requestEnded()
                if (!drainingInBackground) {
                    observation?.ended()
                    releaseOrClose(connection, progress)
                }
            }
        }
        state.requestStarted(tokens)
        target.prefill?.let {
            deployment.recordAndAnnounceSentPrompt(state, SentPrompt(clock.nowMillis(), tokens, it.tokens, it.context))
            context.metrics.recordSentTo(state.entry.zone)
        }
        try {
            // Lets the event loop read its sockets, so that a request is cancelled here if its caller disconnected
            // while this instance was short of CPU time.
            delay(YIELD_MILLIS)
            val exchange = EndpointExchange(target, connection, progress, handover, endpointDone)
            val result = Attempt(attemptContext, pending, exchange, writer).run()
            releases.record(observation, target, progress, result, doneMillis)
            if (result is AttemptResult.Uncertain && connection.input.end != null) onCutOff(pending, progress)
            if (result is AttemptResult.Delivered && result.status in SUCCESS) progress.recordAnswered()
            if (result is AttemptResult.Delivered || result is AttemptResult.Failed) quarantine.recordAnswer(pending)
            return result
        } catch (cancelled: CancellationException) {
            releases.record(observation, target, progress, result = null, doneMillis)
            drainingInBackground = drainInBackground(pending, connection, progress) { observation?.ended() }
            throw cancelled
        } finally {
            endpointDone()
        }
    }

    /** Whether the limit of connections to the endpoint of [state] allows another request of [pending] there. */
    fun canConnect(pending: PendingRequest, state: EndpointState): Boolean =
        pool.hasRoom(state.entry.address, connectionLimit(pending))

    private fun connectionLimit(pending: PendingRequest): Int =
        maxOf(MIN_CONNECTIONS, pending.service.connectionLimit / deployment.instances)

    private suspend fun connect(
        pending: PendingRequest,
        state: EndpointState,
    ): Result<EndpointConnection, ConnectFailure> {
        val address = state.entry.address
        val idle = pool.takeIdle(address)
        if (idle != null) {
            if (idle.lastRequest !== pending.identity) return Ok(idle)
            // A late copy of the response to this request, which has its id, would be taken for the next one.
            idle.close()
        }
        val remaining = pending.deadlineMillis - clock.nowMillis()
        return pool.connect(address, connectionLimit(pending), minOf(remaining / 2, CONNECT_MILLIS).coerceAtLeast(1))
    }

    private fun notConnected(state: EndpointState, failure: ConnectFailure): AttemptResult {
        if (failure != ConnectFailure.AT_LIMIT) state.recordOutcome(AttemptOutcome.UNREACHABLE, clock.nowMillis())
        return AttemptResult.NotRun(failure.message, sent = false)
    }

    /** Records that the connection ended before the response to [pending] was complete. */
    private fun onCutOff(pending: PendingRequest, progress: AttemptProgress) {
        context.metrics.recordCutOff(progress.stage)
        context.log.write("response.cutOff", always = true) {
            put("request", pending.id.value)
            put("endpoint", progress.incarnation.endpoint.value)
            put("endpointStart", progress.incarnation.startMillis)
            put("stage", progress.stage.name.lowercase())
            put("events", progress.events)
            put("content", pending.key.toString())
            pending.prompt?.let { prompt -> put("parts", prompt.parts.joinToString(",") { it.id }) }
        }
        quarantine.recordCrash(pending, progress)
    }

    /**
     * Reads the response of a non-idempotent request to its end after its caller disconnected, because closing the
     * connection would abort the request, and then calls [onEnd]. Returns false if that is not needed.
     */
    private fun drainInBackground(
        pending: PendingRequest,
        connection: EndpointConnection,
        progress: AttemptProgress,
        onEnd: () -> Unit,
    ): Boolean {
        if (!progress.sent || progress.complete || pending.route.kind != RequestKind.NON_IDEMPOTENT) return false
        scope.launch {
            val remaining = pending.deadlineMillis - clock.nowMillis()
            val reader = ResponseReader(pending, connection, names)
            try {
                withTimeoutOrNull(remaining) {
                    reader.head().map {
                        attemptContext.announcements
                            .read(pending, progress.incarnation, progress.sentMillis, connection.address, it.head)
                        progress.complete = reader.discardBody(it)
                    }
                }
            } finally {
                onEnd()
                releaseOrClose(connection, progress)
            }
        }
        return true
    }

    private fun releaseOrClose(connection: EndpointConnection, progress: AttemptProgress) {
        val leaving = deployment.endpoints.isLeaving(progress.incarnation)
        when {
            progress.sent && !progress.complete -> connection.abort()
            leaving -> connection.close()
            else -> pool.release(connection, progress.keepAliveMillis)
        }
        if (leaving) pool.discardIdle(connection.address)
    }

    private companion object {
        // A TCP handshake takes at most about 40 ms between regions; the rest allows for retransmission of lost
        // packets.
        const val CONNECT_MILLIS = 700L

        // Any timer, however short, fires after the event loop has polled its sockets.
        const val YIELD_MILLIS = 1L
        const val MIN_CONNECTIONS = 2
        val SUCCESS = 200..299
    }
}
