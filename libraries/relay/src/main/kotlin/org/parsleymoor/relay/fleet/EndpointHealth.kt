package org.parsleymoor.relay.fleet

/** What an attempt at an endpoint says about its health. */
public enum class AttemptOutcome { ANSWERED, REFUSED, FAILED, SILENT, UNREACHABLE }

/** Notes what an attempt says about the health of this endpoint. */
public fun EndpointState.recordOutcome(evidence: AttemptOutcome, nowMillis: Long) {
    health.recordOutcome(evidence, nowMillis)
}

/**
 * Health of an endpoint from the outcomes of recent attempts. An endpoint that fails is set aside for a time that
 * doubles with every further failure, then one request at a time tries it. Not safe for use from several threads.
 */
internal class EndpointHealth {
    private var failureShare = 0.0
    private var consecutive = 0
    private var asideUntilMillis = Long.MIN_VALUE

    /** Whether the endpoint gets work only when there is no other. */
    fun isEjected(nowMillis: Long): Boolean = nowMillis < asideUntilMillis

    /** Share of recent attempts that failed, 0 to 1. */
    val recentFailures: Double get() = failureShare

    fun recordOutcome(evidence: AttemptOutcome, nowMillis: Long) {
        when (evidence) {
            AttemptOutcome.ANSWERED -> {
                consecutive = 0
                failureShare *= 1 - WEIGHT
            }
            AttemptOutcome.REFUSED -> Unit
            AttemptOutcome.FAILED, AttemptOutcome.SILENT -> failed(nowMillis, FAILURES_BEFORE_ASIDE)
            AttemptOutcome.UNREACHABLE -> failed(nowMillis, 1)
        }
    }

    fun reset() {
        failureShare = 0.0
        consecutive = 0
        asideUntilMillis = Long.MIN_VALUE
    }

    private fun failed(nowMillis: Long, tolerated: Int) {
        consecutive++
        failureShare = failureShare * (1 - WEIGHT) + WEIGHT
        if (consecutive < tolerated && failureShare < FAILURE_SHARE) return
        val doublings = minOf(consecutive - tolerated, MAXIMAL_DOUBLINGS).coerceAtLeast(0)
        asideUntilMillis = nowMillis + (ASIDE_MILLIS shl doublings)
    }

    private companion object {
        // Weight of the newest outcome: about the last ten outcomes decide.
        const val WEIGHT = 0.15

        // An endpoint that fails a third of its recent work is set aside even when other work succeeds.
        const val FAILURE_SHARE = 0.33
        const val FAILURES_BEFORE_ASIDE = 2

        // Time of the first exclusion; a crashed process is usually back after half a second or more.
        const val ASIDE_MILLIS = 500L
        const val MAXIMAL_DOUBLINGS = 3
    }
}
