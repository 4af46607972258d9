package org.parsleymoor.execution

import org.parsleymoor.core.AttemptId
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.RequestId

/** How an attempt failed, as far as the decision about another attempt needs it. */
public enum class AttemptFailure {
    /** No connection was made. */
    NOT_CONNECTED,

    /** The endpoint refused before running the request. */
    REFUSED,

    /** The connection broke, the answer was malformed, or the stream was at fault. */
    BROKEN,

    /** The connection was silent for the silence limit. */
    SILENT,
}

/** Allows or denies one retry; implemented by the retry budget, which all requests of a gateway share. */
public fun interface RetryAllowance {
    /** Takes one retry from the budget at [nowMillis] and returns whether there was one. */
    public fun takeRetry(nowMillis: Long): Boolean
}

/** What to do after a failed attempt. */
public sealed interface AttemptAction {
    /** Try another endpoint than those in [avoid]. */
    public data class TryElsewhere(public val avoid: Set<EndpointId>) : AttemptAction

    /** Try [endpoint] once more over a new connection, because open connections can go silent while new ones work. */
    public data class TryFreshConnection(public val endpoint: EndpointId) : AttemptAction

    /** Refuse the request; [execution] is what is known about it. */
    public data class GiveUp(public val execution: Execution, public val cause: GiveUpCause) : AttemptAction
}

/** Why no further attempt is made. */
public enum class GiveUpCause { NOT_REPEATABLE, ATTEMPTS_USED_UP, DEADLINE_PASSED, RETRY_BUDGET_EMPTY, NO_ENDPOINT }

/**
 * Decides about the attempts of one request. A call that is not [repeatable] is sent again only while no endpoint can
 * have run it (I7, I8). Not safe for use by several threads at once.
 */
public class AttemptTracker(
    private val request: RequestId,
    private val repeatable: Boolean,
    private val deadlineMillis: Long,
    private val allowance: RetryAllowance,
    private val maximumAttempts: Int = DEFAULT_MAXIMUM_ATTEMPTS,
) {
    private val avoided = mutableSetOf<EndpointId>()
    private val refreshed = mutableSetOf<EndpointId>()
    private var attempts = 0

    /** What is known about the request when no further attempt is made. */
    public var execution: Execution = Execution.NotRun
        private set

    /** Endpoints that failed this request. */
    public val failedEndpoints: Set<EndpointId> get() = avoided.toSet()

    /** Counts an attempt and returns its id. */
    public fun nextAttempt(): AttemptId = AttemptId("$request.${attempts++}")

    /** Records that [endpoint] failed at [nowMillis] and returns what to do next. */
    public fun failed(endpoint: EndpointId, end: AttemptFailure, nowMillis: Long): AttemptAction {
        if (end.mayHaveRun()) execution = Execution.Unknown
        val cause = giveUpCause(nowMillis)
        return if (cause == null) another(endpoint, end) else AttemptAction.GiveUp(execution, cause)
    }

    /** Returns the action for a request that has no endpoint left to try. */
    public fun noEndpoint(): AttemptAction.GiveUp = AttemptAction.GiveUp(execution, GiveUpCause.NO_ENDPOINT)

    private fun another(endpoint: EndpointId, end: AttemptFailure): AttemptAction {
        if (end == AttemptFailure.SILENT && refreshed.add(endpoint)) return AttemptAction.TryFreshConnection(endpoint)
        avoided += endpoint
        return AttemptAction.TryElsewhere(failedEndpoints)
    }

    private fun giveUpCause(nowMillis: Long): GiveUpCause? = when {
        execution != Execution.NotRun && !repeatable -> GiveUpCause.NOT_REPEATABLE
        attempts >= maximumAttempts -> GiveUpCause.ATTEMPTS_USED_UP
        nowMillis >= deadlineMillis -> GiveUpCause.DEADLINE_PASSED
        !allowance.takeRetry(nowMillis) -> GiveUpCause.RETRY_BUDGET_EMPTY
        else -> null
    }

    private fun AttemptFailure.mayHaveRun(): Boolean = when (this) {
        AttemptFailure.NOT_CONNECTED, AttemptFailure.REFUSED -> false
        AttemptFailure.BROKEN, AttemptFailure.SILENT -> true
    }

    public companion object {
        /** Attempts of one request, the first included. */
        public const val DEFAULT_MAXIMUM_ATTEMPTS: Int = 4
    }
}
