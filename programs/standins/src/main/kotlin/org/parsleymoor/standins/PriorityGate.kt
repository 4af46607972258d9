package org.parsleymoor.standins

import kotlinx.coroutines.CompletableDeferred

/** Lets at most [permits] holders in; those that wait enter by priority, highest first, then by arrival. */
internal class PriorityGate(private val permits: Int) {
    private val waiting = ArrayList<Waiter>()
    private var holders = 0

    val held: Int get() = holders

    val queued: Int get() = waiting.size

    /** Suspends until the block may run, runs it and lets the next one in. */
    suspend fun <T> enter(priority: Int, block: suspend () -> T): T {
        acquire(priority)
        try {
            return block()
        } finally {
            release()
        }
    }

    private suspend fun acquire(priority: Int) {
        if (holders < permits) {
            holders += 1
            return
        }
        val waiter = Waiter(priority)
        val position = waiting.indexOfFirst { it.priority < priority }
        waiting.add(if (position < 0) waiting.size else position, waiter)
        var entered = false
        try {
            waiter.admitted.await()
            entered = true
        } finally {
            if (!entered) abandon(waiter)
        }
    }

    private fun abandon(waiter: Waiter) {
        if (!waiting.remove(waiter)) release()
    }

    private fun release() {
        if (waiting.isEmpty()) holders -= 1 else waiting.removeAt(0).admitted.complete(Unit)
    }

    private class Waiter(val priority: Int) {
        val admitted = CompletableDeferred<Unit>()
    }
}
