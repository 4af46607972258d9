package org.parsleymoor.gateway.serving

import org.parsleymoor.execution.RetryAllowance
import org.parsleymoor.limits.RetryBudget

/** The retry budget that all requests of the gateway share. Thread-safe. */
internal class SharedRetryBudget(
    private val budget: RetryBudget = RetryBudget(extra = EXTRA_RETRIES),
) : RetryAllowance {
    /** Counts a first attempt. */
    fun firstAttempt(nowMillis: Long) {
        synchronized(budget) { budget.firstAttempt(nowMillis) }
    }

    override fun takeRetry(nowMillis: Long): Boolean = synchronized(budget) { budget.tryRetry(nowMillis) }

    private companion object {
        // Enough to resume the requests of one lost engine elsewhere, even at low traffic.
        const val EXTRA_RETRIES = 32
    }
}
