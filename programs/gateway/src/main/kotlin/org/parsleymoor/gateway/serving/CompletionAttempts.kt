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
import org.parsleymoor.execution.AttemptError
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

/** Runs the attempts of one completion. */
internal class CompletionAttempts(
    private val dependencies: ServingDependencies,
    private val chooser: EngineChooser,
    private val imports: PrefixImporter,
    private val call: CompletionCall,
    private val sink: CompletionSink,
) {
    private val assembler = StreamAssembler()
    private val tracker = AttemptTracker(
        call.request,
        RetryRules.COMPLETION_REPEATABLE,
        call.deadlineMillis,
        dependencies.retryBudget,
        dependencies.streams.maximumAttempts,
    )
    private var inFlight = false
    private var lastFailure: Failure? = null

    /** What is currently known about the execution of the request. */
    val execution: Execution get() = if (inFlight) Execution.Unknown else tracker.execution

    /** Tries engines until the answer is complete; fails with a [Refusal] when no further attempt is allowed. */
    suspend fun run() {
        dependencies.retryBudget.firstAttempt(dependencies.clock.nowMillis())
        var action: AttemptAction? = AttemptAction.TryElsewhere(emptySet())
        while (action != null) {
            action = when (action) {
                is AttemptAction.TryElsewhere -> tryElsewhere(action.avoid)
                is AttemptAction.TryFreshConnection -> tryFreshConnection(action.endpoint)
                is AttemptAction.GiveUp -> throw refusal(action).toException()
            }
        }
    }

    private suspend fun tryElsewhere(avoid: Set<EndpointId>): AttemptAction? {
        val attempt = tracker.nextAttempt()
        val requirements = call.requirements(avoid)
        val placement = chooser.chooseWithRetry(requirements, attempt, dependencies.clock).getOrElse {
            lastFailure = lastFailure ?: it
            return tracker.noEndpoint()
        }
        val reason = "estimated ${placement.estimate.totalMillis.toLong()} ms, " +
            "${placement.recomputedPieces} of ${call.promptHashes.pieces.size} pieces to recompute"
        dependencies.records.add(call.request, RequestStepKind.PLACED, placement.endpoint.value, reason)
        return attempt(Target(placement.endpoint, attempt, placement))
    }

    private suspend fun tryFreshConnection(endpoint: EndpointId): AttemptAction? {
        val attempt = tracker.nextAttempt()
        chooser.recordRetry(endpoint, call.requirements(emptySet()), attempt)
        return attempt(Target(endpoint, attempt, null))
    }

    /** Runs one attempt; returns null when the answer is complete. */
    private suspend fun attempt(target: Target): AttemptAction? {
        val span = dependencies.tracing.hop("generate", target.endpoint.value, call.span)
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
        val engine = dependencies.configuration.current?.endpoint(target.endpoint)
            ?.let { dependencies.backEnds.engine(it) }
            ?: return EndpointFailure.NotConnected(target.endpoint.value, "the engine is no longer declared")
        val resume = assembler.begin(target.attempt)
        recordAttempt(target, resume)
        inFlight = true
        val reader = AttemptReader(target)
        return try {
            val silenceMillis =
                dependencies.streams.silenceMillis + SILENCE_ESTIMATE_FACTOR * target.estimateMillis.toLong()
            engine.generate(generateRequest(target, resume, span), silenceMillis).collect { reader.accept(it) }
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
        dependencies.records.add(
            call.request,
            kind,
            target.endpoint.value,
            "${target.attempt} after ${resume.tokens} tokens",
        )
    }

    private fun generateRequest(target: Target, resume: ResumePoint, span: Span) = GenerateRequest(
        request = call.request,
        attempt = target.attempt,
        organisation = call.organisation.name,
        model = call.model.name,
        version = call.model.version,
        priority = call.organisation.priority,
        prompt = call.prompt,
        pieces = call.promptHashes.pieces.map { it.toString() },
        maximumTokens = call.maximumTokens,
        resumeAfterTokens = resume.tokens,
        resumeText = resume.text,
        traceParent = dependencies.tracing.header(span),
    )

    /** Also cancels an abandoned attempt by its id, because a silent connection may not deliver its closure. */
    private fun cancelAtEngine(engine: EngineClient, target: Target, failure: Failure?) {
        val neverRan = failure is EndpointFailure && !failure.mayHaveRun
        if (!neverRan) dependencies.background.launch { engine.cancel(target.attempt) }
    }

    private fun afterFailure(target: Target, failure: Failure): AttemptAction {
        lastFailure = failure
        dependencies.records.add(call.request, RequestStepKind.REFUSED, target.endpoint.value, failure.message)
        if ((failure as? EndpointFailure.Refused)?.refusal?.reason == EngineRefusalReason.COLD) {
            chooser.refusedAsCold(target.endpoint)
        }
        val error = (failure as? EndpointFailure)?.attemptError ?: AttemptError.BROKEN
        val next = tracker.failed(target.endpoint, error, dependencies.clock.nowMillis())
        inFlight = false
        if (next !is AttemptAction.GiveUp) dependencies.metrics.retried(error.name.lowercase())
        if (error != AttemptError.REFUSED && next !is AttemptAction.TryFreshConnection) chooser.suspect(target.endpoint)
        return next
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
        return Refusal(kind, detail, action.execution, RETRY_AFTER_MILLIS)
    }

    /** An attempt that starts now; [placement] is null when the same engine is retried. */
    private inner class Target(val endpoint: EndpointId, val attempt: AttemptId, val placement: Placement?) {
        val startMillis = dependencies.clock.nowMillis()
        val estimateMillis: Double get() = placement?.estimate?.totalMillis ?: 0.0
    }

    /** Processes the events of one attempt; throws a [FailureException] to end it. */
    private inner class AttemptReader(private val target: Target) {
        private var awaitingFirstToken = true
        private var prefillStartMillis = 0L
        private var prefillTokens = 0L

        suspend fun accept(event: EngineEvent) {
            when (event) {
                is EngineEvent.Started -> if (event.attempt == target.attempt) started(event)
                is EngineEvent.Token -> handle(StreamChunk.Token(event.attempt, event.sequence, event.text))
                is EngineEvent.Final -> handle(StreamChunk.Final(event.attempt, event.tokens, event.reason))
            }
        }

        private fun started(event: EngineEvent.Started) {
            prefillStartMillis = dependencies.clock.nowMillis()
            prefillTokens = event.recomputedPieces.toLong() * PromptHashes.PIECE_TOKENS
            chooser.started(target.endpoint, event.startCount)
            dependencies.metrics.context(event.cachedPieces, event.recomputedPieces)
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
            when (val result = assembler.accept(chunk)) {
                is ChunkResult.Deliver -> deliver(result.text)
                is ChunkResult.Complete -> complete(result)
                is ChunkResult.Dropped -> dependencies.metrics.dropped(result.cause.name.lowercase())
                is ChunkResult.Invalid -> throw FailureException(result.failure)
            }
        }

        private suspend fun deliver(text: String) {
            if (awaitingFirstToken) {
                awaitingFirstToken = false
                firstToken()
            }
            sink.text(text)
        }

        private fun firstToken() {
            val now = dependencies.clock.nowMillis()
            val estimate = maxOf(target.estimateMillis, 1.0)
            val timing = FirstTokenTiming(
                observedMillis = now - target.startMillis,
                estimatedMillis = target.estimateMillis,
                prefillTokens = prefillTokens,
                prefillMillis = now - prefillStartMillis,
            )
            chooser.firstToken(target.endpoint, target.attempt, timing)
            dependencies.metrics.firstToken(
                call.model.name,
                now - call.requestContext.receivedMillis,
                (now - target.startMillis) / estimate
            )
        }

        private suspend fun complete(result: ChunkResult.Complete) {
            inFlight = false
            dependencies.records.add(
                call.request,
                RequestStepKind.FINISHED,
                target.endpoint.value,
                "${result.tokens} tokens",
            )
            sink.complete(result.reason, result.tokens)
        }
    }

    private companion object {
        const val SILENCE_ESTIMATE_FACTOR = 2L
        const val RETRY_AFTER_MILLIS = 1_000L
    }
}

private fun CompletionCall.requirements(avoid: Set<EndpointId>) =
    EngineRequirements(model.name, model.version, promptHashes, avoid)
