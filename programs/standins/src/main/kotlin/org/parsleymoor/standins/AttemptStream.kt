package org.parsleymoor.standins

import io.vertx.ext.web.RoutingContext
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.delay
import org.parsleymoor.clients.EngineEvent
import org.parsleymoor.clients.GenerateRequest
import org.parsleymoor.clients.WireJson
import org.parsleymoor.core.AttemptId

/** One attempt: it waits for a slot, fills in the uncached pieces and streams its tokens. */
internal class AttemptStream(
    private val state: EngineState,
    private val server: StandInServer,
    private val context: RoutingContext,
    private val request: GenerateRequest,
) {
    private val owner = BlockOwner(request.organisation.value, request.model.value, request.version.value)
    private val answer = ModelText.answerTo(request.model.value, request.prompt)

    /** Tokens written so far. */
    var sentTokens: Int = 0
        private set

    /** Runs the attempt and returns how it ended; [record] changes its journal entry. */
    suspend fun run(record: ((EngineRun) -> EngineRun) -> Unit): RunOutcome {
        context.response().setChunked(true).putHeader("Content-Type", "application/x-ndjson")
        return state.slots.enter(request.priority) {
            prefill(record)
            decode()
        }
    }

    /** Ends the response, or leaves it open on a silent connection. */
    fun close() {
        val response = context.response()
        if (!server.isSilent(context) && !response.ended() && !response.closed()) response.end()
    }

    private suspend fun prefill(record: ((EngineRun) -> EngineRun) -> Unit) {
        val match = state.cache.match(request.pieces, owner)
        val missing = request.pieces.drop(match.cached)
        record {
            it.copy(
                outcome = RunOutcome.RUNNING,
                startedAtMillis = state.clock.nowMillis(),
                cachedPieces = match.cached,
                foreignPieces = match.foreign,
            )
        }
        write(EngineEvent.Started(request.attempt, state.startCount, request.version, match.cached, missing.size))
        state.queuedPrefillPieces += missing.size
        var left = missing.size
        try {
            state.prefill.enter(request.priority) {
                missing.forEach {
                    delay(state.settings.prefillMillisPerPiece)
                    left -= 1
                    state.queuedPrefillPieces -= 1
                    state.cache.store(it, owner, state.clock.nowMillis())
                }
            }
        } finally {
            state.queuedPrefillPieces -= left
        }
    }

    private suspend fun decode(): RunOutcome {
        val indices = request.resumeAfterTokens until request.maximumTokens
        val truncated = takeTruncation()
        val last = if (truncated) indices.count() / 2 else indices.count()
        for (index in indices.take(last)) {
            delay(state.settings.millisPerToken + state.faults.delayMillis)
            writeCrossed()
            write(EngineEvent.Token(request.attempt, sentTokens, answer.token(index)))
            sentTokens += 1
        }
        if (truncated) return RunOutcome.BROKEN
        write(EngineEvent.Final(request.attempt, sentTokens))
        return RunOutcome.FINISHED
    }

    private fun takeTruncation(): Boolean {
        val left = state.faults.truncateStreams
        if (left > 0) state.faults = state.faults.copy(truncateStreams = left - 1)
        return left > 0
    }

    private suspend fun writeCrossed() {
        val left = state.faults.crossTokens
        if (left == 0) return
        state.faults = state.faults.copy(crossTokens = left - 1)
        write(EngineEvent.Token(AttemptId("${request.attempt}-other"), sentTokens, "crossed "))
    }

    private suspend fun write(event: EngineEvent) {
        if (server.isSilent(context)) return
        context.response().write(WireJson.encodeToString(EngineEvent.serializer(), event) + "\n").coAwait()
    }
}
