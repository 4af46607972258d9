package org.parsleymoor.entry.serving

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.selects.select

/** Ends attempts that are in flight when the last responses are due. Confined to the event loop. */
internal class AnswerCutoff {
    private val due = CompletableDeferred<Unit>()

    /** Ends all attempts in flight. */
    fun pass() {
        due.complete(Unit)
    }

    /** Runs [attempt] and returns its result, or null if it had not ended when the last responses were due. */
    suspend fun <T : Any> runUntilDue(attempt: suspend () -> T): T? = coroutineScope {
        val running = async(start = CoroutineStart.UNDISPATCHED) { attempt() }
        select {
            running.onAwait { it }
            due.onAwait {
                running.cancelAndJoin()
                if (running.isCancelled) null else running.getCompleted()
            }
        }
    }
}
