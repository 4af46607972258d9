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
import org.parsleymoor.entry.callers.CallerAnswer
import org.parsleymoor.entry.net.ConnectFailure
import org.parsleymoor.entry.net.ConnectionPool
import org.parsleymoor.entry.net.EndpointConnection
import org.parsleymoor.entry.protocol.HeaderNames
import org.parsleymoor.relay.fleet.AttemptOutcome
import org.parsleymoor.relay.fleet.EndpointState
import org.parsleymoor.relay.fleet.SentPrompt
import org.parsleymoor.relay.fleet.recordOutcome
import org.parsleymoor.relay.routing.RequestKind

/** Finds connections for attempts and takes them back. Confined to the event loop. */
internal class Attempts(
    private val context: ServingContext,
    private val pool: ConnectionPool,
    private val names: HeaderNames,
    private val scope: CoroutineScope,
) {
    private val beliefs = context.beliefs
    private val clock = context.clock
    private val tools = AttemptTools(context, names, pool::discardIdle)

    /** Sends [work] to [target] and, where it succeeds, writes the answer; suspends until the outcome is known. */
    suspend fun run(work: Work, target: Target, answer: CallerAnswer): AttemptResult {
        val state = target.endpoint
        val connection = connect(work, state).getOrElse { return notConnected(state, it) }
        val tokens = work.prompt?.promptTokens ?: 0
        val progress = AttemptProgress(state, tokens)
        var handedOver = false
        state.requestStarted(tokens)
        target.reading?.let { beliefs.sent(state, SentPrompt(clock.nowMillis(), tokens, it.tokens, it.context)) }
        try {
            // What has arrived meanwhile is read first: a caller that has left while this instance was short of
            // processor time ends its request here.
            delay(CATCH_UP_MILLIS)
            return Attempt(tools, work, target, connection, answer, progress).run()
        } catch (cancelled: CancellationException) {
            handedOver = finishLater(work, connection, progress)
            throw cancelled
        } finally {
            progress.read()
            state.requestEnded()
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
        if (failure != ConnectFailure.AT_LIMIT) state.recordOutcome(AttemptOutcome.UNREACHABLE, clock.nowMillis())
        return AttemptResult.NotRun(failure.message, sent = false)
    }

    /** Waits for the response of a request that must not be cut off when its caller leaves; returns whether it does. */
    private fun finishLater(work: Work, connection: EndpointConnection, progress: AttemptProgress): Boolean {
        if (!progress.sent || progress.complete || work.route.kind != RequestKind.NON_IDEMPOTENT) return false
        scope.launch {
            val remaining = work.limitMillis - clock.nowMillis()
            val reader = ResponseReader(work, connection, names)
            withTimeoutOrNull(remaining) {
                reader.head().map { progress.complete = reader.body(it) != null }
            }
            settle(connection, progress)
        }
        return true
    }

    private fun settle(connection: EndpointConnection, progress: AttemptProgress) {
        if (progress.complete || !progress.sent) {
            pool.giveBack(connection, progress.keepMillis)
        } else {
            connection.close()
        }
    }

    private companion object {
        // Establishing a connection takes one round trip, at most some 40 ms between regions, unless packets are lost.
        const val CONNECT_MILLIS = 700L

        // A timer, however short, runs after the event loop has read its sockets again.
        const val CATCH_UP_MILLIS = 1L
        const val MINIMAL_CONNECTIONS = 2
    }
}
