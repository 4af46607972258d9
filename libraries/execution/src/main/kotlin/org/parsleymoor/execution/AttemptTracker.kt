package org.parsleymoor.execution

import org.parsleymoor.core.AttemptId
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.RequestId

/** How an attempt failed; decides whether and where the request is retried. */
public enum class AttemptError {
    /** No connection was made. */
    NOT_CONNECTED,

    /** The endpoint refused before running the request. */
    REFUSED,

    /** The connection broke, the response was malformed, or its stream was invalid. */
    BROKEN,

    /** Nothing was received for the whole silence timeout. */
    SILENT,
}

/** Allows or denies one retry; implemented by the retry budget that all requests of a gateway share. */
public fun interface RetryAllowance {
    /** Takes one retry from the budget at [nowMillis] and returns whether one was left. */
    public fun takeRetry(nowMillis: Long): Boolean
}

/** What to do after a failed attempt. */
public sealed interface AttemptAction {
    /** Try an endpoint that is not in [avoid]. */
    public data class TryElsewhere(public val avoid: Set<EndpointId>) : AttemptAction

    /** Retry [endpoint] once over a new connection, because open connections can go silent while new ones work. */
    public data class TryFreshConnection(public val endpoint: EndpointId) : AttemptAction

    /** Refuse the request; [execution] says whether an endpoint may have run it. */
    public data class GiveUp(public val execution: Execution, public val cause: GiveUpCause) : AttemptAction
}

/** Why no further attempt is made. */
public enum class GiveUpCause { NOT_REPEATABLE, ATTEMPTS_USED_UP, DEADLINE_PASSED, RETRY_BUDGET_EMPTY, NO_ENDPOINT }

/**
 * Tracks the attempts of one request and decides whether to retry. A call that is not [repeatable] is sent again only
 * while no endpoint can have run it (invariants I7 and I8). Not thread-safe.
 */
public class AttemptTracker(
    private val request: RequestId,
    private val repeatable: Boolean,
    private val deadlineMillis: Long,
    private val allowance: RetryAllowance,
    private val maximumAttempts: Int = DEFAULT_MAXIMUM_ATTEMPTS,
) {
    private val excluded = mutableSetOf<EndpointId>()
    private val retried = mutableSetOf<EndpointId>()
    private var attempts = 0

    /** Whether an endpoint may have run the request, judged by the attempts that have failed so far. */
    public var execution: Execution = Execution.NotRun
        private set

    /** Endpoints that failed this request. */
    public val failedEndpoints: Set<EndpointId> get() = excluded.toSet()

    /** Counts a new attempt and returns its id. */
    public fun nextAttempt(): AttemptId = AttemptId("$request.${attempts++}")

    /** Records that [endpoint] failed at [nowMillis] and returns what to do next. */
    public fun failed(endpoint: EndpointId, failure: AttemptError, nowMillis: Long): AttemptAction {
        if (failure.mayHaveRun()) execution = Execution.Unknown
        val cause = giveUpCause(nowMillis)
        return if (cause == null) retry(endpoint, failure) else AttemptAction.GiveUp(execution, cause)
    }

    /** Returns the action for a request that has no endpoint left to try. */
    public fun noEndpoint(): AttemptAction.GiveUp = AttemptAction.GiveUp(execution, GiveUpCause.NO_ENDPOINT)

    private fun retry(endpoint: EndpointId, failure: AttemptError): AttemptAction {
        if (failure == AttemptError.SILENT && retried.add(endpoint)) return AttemptAction.TryFreshConnection(endpoint)
        excluded += endpoint
        return AttemptAction.TryElsewhere(failedEndpoints)
    }

    private fun giveUpCause(nowMillis: Long): GiveUpCause? = when {
        execution != Execution.NotRun && !repeatable -> GiveUpCause.NOT_REPEATABLE
        attempts >= maximumAttempts -> GiveUpCause.ATTEMPTS_USED_UP
        nowMillis >= deadlineMillis -> GiveUpCause.DEADLINE_PASSED
        !allowance.takeRetry(nowMillis) -> GiveUpCause.RETRY_BUDGET_EMPTY
        else -> null
    }

    private fun AttemptError.mayHaveRun(): Boolean = when (this) {
        AttemptError.NOT_CONNECTED, AttemptError.REFUSED -> false
        AttemptError.BROKEN, AttemptError.SILENT -> true
    }

    public companion object {
        /** Maximum number of attempts of one request, including the first. */
        public const val DEFAULT_MAXIMUM_ATTEMPTS: Int = 4
    }
}
