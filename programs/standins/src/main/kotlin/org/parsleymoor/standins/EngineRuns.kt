package org.parsleymoor.standins

import io.vertx.ext.web.RoutingContext
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import org.parsleymoor.clients.EngineRefusal
import org.parsleymoor.clients.EngineRefusalReason
import org.parsleymoor.clients.GenerateRequest

/** The requests that an engine has, from arrival to the end of their streams. */
internal class EngineRuns(
    private val state: EngineState,
    private val server: StandInServer,
    private val scope: CoroutineScope,
) {
    private val journal = Journal(EngineRun.serializer(), state.settings.journalFile) { it.number }
    private val jobs = HashMap<String, Job>()

    /** Takes or refuses a request; a cold engine that falls over breaks every connection instead of refusing. */
    fun arrive(context: RoutingContext) {
        val request = context.readBody(GenerateRequest.serializer()) ?: return
        val run = engineRun(journal.next, request, arrivalState())
        val refusal = state.refusalOf(request)
        journal.put(run.copy(refusal = refusal?.reason, outcome = firstOutcome(refusal)))
        when {
            refusal == null -> start(context, request, run.number)
            refusal.reason == EngineRefusalReason.COLD && state.settings.coldOverload == ColdOverload.FALL_OVER ->
                fallOver()
            else -> context.answer(EngineRefusal.serializer(), refusal, HttpStatus.UNAVAILABLE)
        }
    }

    /** Stops the attempt [attempt] when the engine has it. */
    fun cancel(attempt: String) {
        jobs.remove(attempt)?.cancel()
    }

    /** Breaks every connection and starts the engine again. */
    fun fallOver() {
        jobs.values.toList().forEach { it.cancel(CancellationException("the engine fell over")) }
        state.restart(state.settings.restartMillis)
        server.closeConnections()
    }

    fun journalJson(): String = journal.json()

    private fun start(context: RoutingContext, request: GenerateRequest, number: Long) {
        val stream = AttemptStream(state, server, context, request)
        val job = scope.launch { runToEnd(stream, number) }
        jobs[request.attempt.value] = job
        job.invokeOnCompletion { jobs.remove(request.attempt.value, job) }
        context.response().exceptionHandler { }.closeHandler { job.cancel() }
    }

    private suspend fun runToEnd(stream: AttemptStream, number: Long) {
        var outcome = RunOutcome.CANCELLED
        try {
            outcome = stream.run { change -> update(number, change) }
        } finally {
            update(number) {
                it.copy(outcome = outcome, tokens = stream.sentTokens, endedAtMillis = state.clock.nowMillis())
            }
            if (outcome == RunOutcome.FINISHED) state.cold.answered()
            stream.close()
        }
    }

    private fun update(number: Long, change: (EngineRun) -> EngineRun) {
        journal[number]?.let { journal.put(change(it)) }
    }

    private fun firstOutcome(refusal: EngineRefusal?) = if (refusal == null) RunOutcome.QUEUED else RunOutcome.REFUSED

    private fun arrivalState() = ArrivalState(
        startCount = state.startCount,
        nowMillis = state.clock.nowMillis(),
        others = state.requests,
        coldSinceMillis = if (state.isCold) state.cold.coldSinceMillis else 0,
    )
}
