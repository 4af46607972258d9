package org.parsleymoor.gateway.serving

import org.parsleymoor.core.OrganisationId
import org.parsleymoor.execution.atmostonce.ExecutionAnswer
import org.parsleymoor.execution.atmostonce.KeyedCall
import org.parsleymoor.execution.atmostonce.RunOutcome

/** Runs calls with an `Idempotency-Key` at most once (I8). */
internal interface AtMostOnce {
    /** Issues a ticket for one call of [organisation]. */
    fun issue(organisation: OrganisationId): String

    /**
     * Suspends until the answer to [call]; [dispatch] sends it to an endpoint and is called at most once, also when the
     * caller has gone by then.
     */
    suspend fun execute(call: KeyedCall, dispatch: suspend () -> RunOutcome): ExecutionAnswer
}
