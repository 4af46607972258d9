package org.parsleymoor.entry.serving

import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.serialization.json.put
import org.parsleymoor.entry.callers.ResponseWriter
import org.parsleymoor.entry.log.shortTrace
import org.parsleymoor.relay.fleet.AttemptOutcome
import org.parsleymoor.relay.fleet.recordOutcome

/** Runs an attempt and, while its endpoint is silent, a successor beside it at another endpoint. */
internal class AttemptSequence(
    context: ServingContext,
    private val attemptRunner: AttemptRunner,
    private val retries: RetryRules,
) {
    private val deployment = context.deployment
    private val log = context.log
    private val metrics = context.metrics
    private val clock = context.clock

    /** Sends [pending] to [target]; returns the result of the attempt that counts for the caller. */
    suspend fun run(
        pending: PendingRequest,
        target: Target,
        writer: ResponseWriter,
        predecessor: Handover? = null,
    ): AttemptResult = coroutineScope {
        val startMillis = clock.nowMillis()
        pending.tried += target.endpoint.entry.id
        pending.attemptCount++
        val handover = Handover(this, predecessor) { self ->
            successor(pending, target)?.let { next -> suspend { run(pending, next, writer, self) } }
        }
        val own = handover.run { runIsolated(pending, target, writer, handover) } ?: ended(target, handover)
        if (own is AttemptResult.Uncertain || own is AttemptResult.Failed) pending.possibleRuns++
        record(pending, target, own, startMillis)
        handover.resultForCaller(own)
    }

    /**
     * Runs one attempt; an unexpected error ends only this attempt, not the request or the attempt beside it. An error
     * while the caller is written to ends the request: what the caller has received is not known.
     */
    @Suppress("TooGenericExceptionCaught")
    private suspend fun runIsolated(
        pending: PendingRequest,
        target: Target,
        writer: ResponseWriter,
        handover: Handover,
    ): AttemptResult = try {
        attemptRunner.run(pending, target, writer, handover)
    } catch (cause: Throwable) {
        currentCoroutineContext().ensureActive()
        if (writer.failed || writer.complete) throw cause
        logFailure(pending, target, handover.sent, cause)
        if (handover.sent) AttemptResult.Uncertain(ERROR) else AttemptResult.NotRun(ERROR, sent = false)
    }

    /** Returns the endpoint that the request is sent to beside [silent], or null; an unexpected error means none. */
    @Suppress("TooGenericExceptionCaught")
    private fun successor(pending: PendingRequest, silent: Target): Target? = try {
        retries.takeSuccessor(pending)?.also {
            // The other requests of this instance then prefer other endpoints too.
            silent.endpoint.recordOutcome(AttemptOutcome.SILENT, clock.nowMillis())
        }
    } catch (cause: Throwable) {
        logFailure(pending, silent, sent = true, cause)
        null
    }

    private fun logFailure(pending: PendingRequest, target: Target, sent: Boolean, cause: Throwable) {
        log.write("attempt.failed", always = true) {
            put("request", pending.id.value)
            put("endpoint", target.endpoint.entry.id.value)
            put("sent", sent)
            put("cause", cause.shortTrace())
        }
    }

    private fun ended(target: Target, handover: Handover): AttemptResult {
        val end = checkNotNull(handover.end) { "an attempt without a result was ended by another one" }
        if (end == AttemptEnd.NO_SIGN_OF_LIFE) {
            target.endpoint.recordOutcome(AttemptOutcome.SILENT, clock.nowMillis())
        }
        return if (handover.sent) {
            AttemptResult.Uncertain(end.reason)
        } else {
            AttemptResult.NotRun(end.reason, sent = false)
        }
    }

    private fun record(pending: PendingRequest, target: Target, result: AttemptResult, startMillis: Long) {
        val nowMillis = clock.nowMillis()
        metrics.attempts.increment()
        log.write("request.attempt", always = result !is AttemptResult.Delivered) {
            val endpoint = target.endpoint
            put("request", pending.id.value)
            put("route", pending.route.name)
            put("endpoint", endpoint.entry.id.value)
            put("entryAgeMillis", nowMillis - endpoint.entryReceivedMillis)
            put("configuration", deployment.routes?.configuration?.version)
            put("estimateMillis", target.estimateMillis.toLong())
            pending.prompt?.let { prompt ->
                put("context", prompt.affinityKey)
                put("sharedTokens", prompt.sharedTokens)
                put("promptTokens", prompt.promptTokens)
            }
            target.weights?.let { put("weights", it) }
            target.transfer.source?.let { put("fetchFrom", it) }
            target.transfer.target?.let { put("saveTo", it) }
            target.load?.let { load ->
                put("running", load.running)
                put("waiting", load.waiting)
                put("prefilling", load.prefilling)
                put("memoryUsed", load.memoryUsed)
                put("loadAgeMillis", startMillis - load.atMillis)
            }
            pending.firstByteMillis?.let { put("firstByteMillis", it - startMillis) }
            put("millis", nowMillis - startMillis)
            put("outcome", result.outcome)
        }
    }

    private companion object {
        const val ERROR = "an unexpected error on this instance"
    }
}
