package org.parsleymoor.relay.fleet

/** The outcome of an attempt, as far as it tells about the health of its endpoint. */
public enum class AttemptOutcome { ANSWERED, REFUSED, FAILED, SILENT, UNREACHABLE }

/** Updates the health of this endpoint with the [outcome] of an attempt. */
public fun EndpointState.recordOutcome(outcome: AttemptOutcome, nowMillis: Long) {
    health.recordOutcome(outcome, nowMillis)
}

/** Returns whether this endpoint receives requests only when there is no other. */
public fun EndpointState.isEjected(nowMillis: Long): Boolean = health.isEjected(nowMillis)

/**
 * Health of an endpoint, derived from the outcomes of recent attempts. An endpoint that fails is ejected for a time
 * that doubles with each further failure in a row. Requests that time out while it is ejected belong to the same
 * silence and do not lengthen the ejection, which its next answer ends. Not thread-safe.
 */
internal class EndpointHealth {
    private var failureShare = 0.0
    private var consecutiveFailures = 0
    private var ejectedUntilMillis = Long.MIN_VALUE
    private var ejectedForSilence = false

    /** Returns whether the endpoint receives requests only when there is no other. */
    fun isEjected(nowMillis: Long): Boolean = nowMillis < ejectedUntilMillis

    /** Share of recent attempts that failed, 0 to 1. */
    val recentFailures: Double get() = failureShare

    fun recordOutcome(outcome: AttemptOutcome, nowMillis: Long) {
        when (outcome) {
            AttemptOutcome.ANSWERED -> {
                consecutiveFailures = 0
                failureShare *= 1 - SMOOTHING
                if (ejectedForSilence) ejectedUntilMillis = Long.MIN_VALUE
            }
            AttemptOutcome.REFUSED -> Unit
            AttemptOutcome.SILENT ->
                if (!isEjected(nowMillis)) recordFailure(nowMillis, FAILURES_BEFORE_EJECTION, isSilence = true)
            AttemptOutcome.FAILED -> recordFailure(nowMillis, FAILURES_BEFORE_EJECTION, isSilence = false)
            AttemptOutcome.UNREACHABLE -> recordFailure(nowMillis, 1, isSilence = false)
        }
    }

    fun reset() {
        failureShare = 0.0
        consecutiveFailures = 0
        ejectedUntilMillis = Long.MIN_VALUE
    }

    private fun recordFailure(nowMillis: Long, threshold: Int, isSilence: Boolean) {
        consecutiveFailures++
        failureShare = failureShare * (1 - SMOOTHING) + SMOOTHING
        if (consecutiveFailures < threshold && failureShare < MAX_FAILURE_SHARE) return
        val doublings = minOf(consecutiveFailures - threshold, MAX_DOUBLINGS).coerceAtLeast(0)
        ejectedUntilMillis = nowMillis + (FIRST_EJECTION_MILLIS shl doublings)
        ejectedForSilence = isSilence
    }

    private companion object {
        // Weight of the newest outcome in the moving average, which covers about the last ten outcomes.
        const val SMOOTHING = 0.15

        // An endpoint that fails a third of its recent requests is ejected even if the others succeed.
        const val MAX_FAILURE_SHARE = 0.33
        const val FAILURES_BEFORE_EJECTION = 2

        // A crashed process takes half a second or more to restart.
        const val FIRST_EJECTION_MILLIS = 500L
        const val MAX_DOUBLINGS = 3
    }
}
