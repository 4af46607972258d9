package org.parsleymoor.gateway.serving

import org.parsleymoor.execution.RetryAllowance
import org.parsleymoor.limits.RetryBudget

/** The retry budget that all requests of the gateway draw on. */
internal class SharedRetryBudget(private val budget: RetryBudget = RetryBudget(extra = RESERVE)) : RetryAllowance {
    /** Counts a first attempt. */
    fun firstAttempt(nowMillis: Long) {
        synchronized(budget) { budget.firstAttempt(nowMillis) }
    }

    override fun takeRetry(nowMillis: Long): Boolean = synchronized(budget) { budget.tryRetry(nowMillis) }

    private companion object {
        // The requests that run on one engine can be resumed elsewhere when it is lost, also at low traffic.
        const val RESERVE = 32
    }
}
