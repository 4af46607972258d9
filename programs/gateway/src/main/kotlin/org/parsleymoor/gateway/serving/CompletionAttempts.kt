package org.parsleymoor.gateway.serving

import com.github.michaelbull.result.getOrElse
import io.opentelemetry.api.trace.Span
import kotlinx.coroutines.launch
import org.parsleymoor.clients.EndpointFailure
import org.parsleymoor.clients.EngineClient
import org.parsleymoor.clients.EngineEvent
import org.parsleymoor.clients.EngineRefusalReason
import org.parsleymoor.clients.GenerateRequest
import org.parsleymoor.clients.RequestStepKind
import org.parsleymoor.context.PromptHashes
import org.parsleymoor.core.AttemptId
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.Failure
import org.parsleymoor.core.FailureException
import org.parsleymoor.execution.AttemptAction
import org.parsleymoor.execution.AttemptFailure
import org.parsleymoor.execution.AttemptTracker
import org.parsleymoor.execution.ChunkResult
import org.parsleymoor.execution.Execution
import org.parsleymoor.execution.GiveUpCause
import org.parsleymoor.execution.ResumePoint
import org.parsleymoor.execution.RetryRules
import org.parsleymoor.execution.StreamAssembler
import org.parsleymoor.execution.StreamChunk
import org.parsleymoor.gateway.callers.Refusal
import org.parsleymoor.gateway.callers.RefusalKind
import org.parsleymoor.gateway.operations.fail
import org.parsleymoor.placement.Placement
import kotlin.coroutines.cancellation.CancellationException

/** The attempts of one completion. */
internal class CompletionAttempts(
    private val tools: ServingTools,
    private val chooser: EndpointChooser,
    private val imports: PrefixImports,
    private val call: CompletionCall,
    private val sink: CompletionSink,
) {
    private val assembler = StreamAssembler()
    private val machine = AttemptTracker(
        call.request,
        RetryRules.COMPLETION_REPEATABLE,
        call.deadlineMillis,
        tools.budget,
        tools.streams.maximumAttempts,
    )
    private var inFlight = false
    private var lastFailure: Failure? = null

    /** What is known about the request now. */
    val execution: Execution get() = if (inFlight) Execution.Unknown else machine.execution

    /** Tries engines until the answer is whole; fails with a [Refusal] when the rules allow no further attempt. */
    suspend fun run() {
        tools.budget.firstAttempt(tools.clock.nowMillis())
        var action: AttemptAction? = AttemptAction.TryElsewhere(emptySet())
        while (action != null) {
            action = when (action) {
                is AttemptAction.TryElsewhere -> tryElsewhere(action.avoid)
                is AttemptAction.TryFreshConnection -> tryAgain(action.endpoint)
                is AttemptAction.GiveUp -> throw refusal(action).toException()
            }
        }
    }

    private suspend fun tryElsewhere(avoid: Set<EndpointId>): AttemptAction? {
        val attempt = machine.nextAttempt()
        val need = call.need(avoid)
        val placement = chooser.chooseSoon(need, attempt, tools.clock).getOrElse {
            lastFailure = lastFailure ?: it
            return machine.noEndpoint()
        }
        val reason = "estimated ${placement.estimate.totalMillis.toLong()} ms, " +
            "${placement.recomputedPieces} of ${call.context.pieces.size} pieces to recompute"
        tools.records.add(call.request, RequestStepKind.PLACED, placement.endpoint.value, reason)
        return attempt(Target(placement.endpoint, attempt, placement))
    }

    private suspend fun tryAgain(endpoint: EndpointId): AttemptAction? {
        val attempt = machine.nextAttempt()
        chooser.repeat(endpoint, call.need(emptySet()), attempt)
        return attempt(Target(endpoint, attempt, null))
    }

    /** Runs one attempt; returns null when the answer is whole. */
    private suspend fun attempt(target: Target): AttemptAction? {
        val span = tools.tracing.hop("generate", target.endpoint.value, call.span)
        val failure = try {
            target.placement?.let { imports.fetch(call, it) }
            stream(target, span)
        } finally {
            chooser.finished(target.attempt)
            span.end()
        }
        if (failure == null) return null
        return afterFailure(target, failure)
    }

    private suspend fun stream(target: Target, span: Span): Failure? {
        val engine = tools.configuration.current?.endpoint(target.endpoint)?.let { tools.backEnds.engine(it) }
            ?: return EndpointFailure.NotConnected(target.endpoint.value, "the engine is no longer declared")
        val resume = assembler.begin(target.attempt)
        recordAttempt(target, resume)
        inFlight = true
        val reader = AttemptReader(target)
        return try {
            val silenceMillis = tools.streams.silenceMillis + SLACK * target.estimateMillis.toLong()
            engine.generate(generateRequest(target, resume, span), silenceMillis).collect { reader.take(it) }
            null
        } catch (cause: FailureException) {
            cause.failure.also {
                span.fail(it)
                cancelAtEngine(engine, target, it)
            }
        } catch (cause: CancellationException) {
            cancelAtEngine(engine, target, null)
            throw cause
        }
    }

    private fun recordAttempt(target: Target, resume: ResumePoint) {
        val kind = if (resume.tokens == 0) RequestStepKind.ATTEMPTED else RequestStepKind.RESUMED
        tools.records.add(call.request, kind, target.endpoint.value, "${target.attempt} after ${resume.tokens} tokens")
    }

    private fun generateRequest(target: Target, resume: ResumePoint, span: Span) = GenerateRequest(
        request = call.request,
        attempt = target.attempt,
        organisation = call.organisation.name,
        model = call.model.name,
        version = call.model.version,
        priority = call.organisation.priority,
        prompt = call.prompt,
        pieces = call.context.pieces.map { it.toString() },
        maximumTokens = call.maximumTokens,
        resumeAfterTokens = resume.tokens,
        resumeText = resume.text,
        traceParent = tools.tracing.header(span),
    )

    /** An abandoned attempt is cancelled by name too, because a silent connection does not carry its own end. */
    private fun cancelAtEngine(engine: EngineClient, target: Target, failure: Failure?) {
        val neverRan = failure is EndpointFailure && !failure.mayHaveRun
        if (!neverRan) tools.background.launch { engine.cancel(target.attempt) }
    }

    private fun afterFailure(target: Target, failure: Failure): AttemptAction {
        lastFailure = failure
        tools.records.add(call.request, RequestStepKind.REFUSED, target.endpoint.value, failure.message)
        if ((failure as? EndpointFailure.Refused)?.refusal?.reason == EngineRefusalReason.COLD) {
            chooser.refusedAsCold(target.endpoint)
        }
        val end = (failure as? EndpointFailure)?.attemptEnd ?: AttemptFailure.BROKEN
        val action = machine.failed(target.endpoint, end, tools.clock.nowMillis())
        inFlight = false
        if (action !is AttemptAction.GiveUp) tools.metrics.retried(end.name.lowercase())
        if (end != AttemptFailure.REFUSED && action !is AttemptAction.TryFreshConnection) {
            chooser.suspect(
                target.endpoint
            )
        }
        return action
    }

    private fun refusal(action: AttemptAction.GiveUp): Refusal {
        val kind = when (action.cause) {
            GiveUpCause.DEADLINE_PASSED -> RefusalKind.DEADLINE_PASSED
            GiveUpCause.NO_ENDPOINT, GiveUpCause.NOT_REPEATABLE, GiveUpCause.ATTEMPTS_USED_UP,
            GiveUpCause.RETRY_BUDGET_EMPTY,
            ->
                if (action.execution == Execution.NotRun) RefusalKind.NO_ENDPOINT else RefusalKind.ENDPOINT_FAILED
        }
        val detail = "${action.cause.name.lowercase()}: ${lastFailure?.message.orEmpty()}"
        return Refusal(kind, detail, action.execution, RETRY_MILLIS)
    }

    /** An attempt that begins now; [placement] is null when an engine is tried again. */
    private inner class Target(val endpoint: EndpointId, val attempt: AttemptId, val placement: Placement?) {
        val beganMillis = tools.clock.nowMillis()
        val estimateMillis: Double get() = placement?.estimate?.totalMillis ?: 0.0
    }

    /** Takes the events of one attempt; throws a [FailureException] that ends it. */
    private inner class AttemptReader(private val target: Target) {
        private var awaitsFirstToken = true
        private var startedMillis = 0L
        private var prefillTokens = 0L

        suspend fun take(event: EngineEvent) {
            when (event) {
                is EngineEvent.Started -> if (event.attempt == target.attempt) started(event)
                is EngineEvent.Token -> handle(StreamChunk.Token(event.attempt, event.sequence, event.text))
                is EngineEvent.Final -> handle(StreamChunk.Final(event.attempt, event.tokens, event.reason))
            }
        }

        private fun started(event: EngineEvent.Started) {
            startedMillis = tools.clock.nowMillis()
            prefillTokens = event.recomputedPieces.toLong() * PromptHashes.PIECE_TOKENS
            chooser.started(target.endpoint, event.startCount)
            tools.metrics.context(event.cachedPieces, event.recomputedPieces)
            if (event.version != call.model.version) {
                throw FailureException(
                    EndpointFailure.Malformed(
                        target.endpoint.value,
                        "weight version ${call.model.version}",
                        "weight version ${event.version}",
                    ),
                )
            }
        }

        private suspend fun handle(chunk: StreamChunk) {
            when (val verdict = assembler.accept(chunk)) {
                is ChunkResult.Deliver -> deliver(verdict.text)
                is ChunkResult.Complete -> complete(verdict)
                is ChunkResult.Dropped -> tools.metrics.dropped(verdict.cause.name.lowercase())
                is ChunkResult.Invalid -> throw FailureException(verdict.failure)
            }
        }

        private suspend fun deliver(text: String) {
            if (awaitsFirstToken) {
                awaitsFirstToken = false
                firstToken()
            }
            sink.text(text)
        }

        private fun firstToken() {
            val now = tools.clock.nowMillis()
            val estimate = maxOf(target.estimateMillis, 1.0)
            val timing = FirstTokenTiming(
                observedMillis = now - target.beganMillis,
                estimatedMillis = target.estimateMillis,
                prefillTokens = prefillTokens,
                prefillMillis = now - startedMillis,
            )
            chooser.firstToken(target.endpoint, target.attempt, timing)
            tools.metrics.firstToken(
                call.model.name,
                now - call.caller.receivedMillis,
                (now - target.beganMillis) / estimate
            )
        }

        private suspend fun complete(verdict: ChunkResult.Complete) {
            inFlight = false
            tools.records.add(call.request, RequestStepKind.FINISHED, target.endpoint.value, "${verdict.tokens} tokens")
            sink.complete(verdict.reason, verdict.tokens)
        }
    }

    private companion object {
        const val SLACK = 2L
        const val RETRY_MILLIS = 1_000L
    }
}

private fun CompletionCall.need(avoid: Set<EndpointId>) = EngineNeed(model.name, model.version, context, avoid)
