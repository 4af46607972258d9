package org.parsleymoor.entry.control

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.serialization.json.put
import org.parsleymoor.core.Clock
import org.parsleymoor.entry.log.StructuredLog
import org.parsleymoor.entry.log.shortTrace

/**
 * Runs the control loops of an instance in [scope] and starts one that fails again, after a pause that doubles with
 * each failure in a row. [onFailure] receives the name of a loop that failed. An error of the virtual machine other
 * than an overflow of the stack is not caught, because nothing can be relied on after it.
 */
internal class LoopSupervisor(
    private val scope: CoroutineScope,
    private val log: StructuredLog,
    private val clock: Clock,
    private val onFailure: (String) -> Unit = {},
) {
    /** Runs [loop], which is called [name] in the log, until it returns or [scope] is cancelled. */
    fun start(name: String, loop: suspend () -> Unit): Job = scope.launch {
        var pauseMillis = INITIAL_PAUSE_MILLIS
        while (isActive) {
            val startedMillis = clock.nowMillis()
            val failure = failureOf(loop) ?: return@launch
            if (clock.nowMillis() - startedMillis >= STEADY_MILLIS) pauseMillis = INITIAL_PAUSE_MILLIS
            report(name, failure, pauseMillis)
            delay(pauseMillis)
            pauseMillis = (pauseMillis * 2).coerceAtMost(MAX_PAUSE_MILLIS)
        }
    }

    private fun report(name: String, failure: Throwable, pauseMillis: Long) {
        onFailure(name)
        log.write("loop.failed", always = true) {
            put("loop", name)
            put("pauseMillis", pauseMillis)
            put("cause", failure.shortTrace())
        }
    }

    private companion object {
        const val INITIAL_PAUSE_MILLIS = 100L

        // Shorter than the time after which peers expire an instance without heartbeats.
        const val MAX_PAUSE_MILLIS = 3_000L

        // A loop that has run for this long is not failing at its start.
        const val STEADY_MILLIS = 10_000L
    }
}

/** Runs [loop] and returns why it failed, or null if it returned. Throws if the calling coroutine was cancelled. */
private suspend fun failureOf(loop: suspend () -> Unit): Throwable? {
    val failure = runCatching { loop() }.exceptionOrNull()
    val isCancelled = failure is CancellationException && !currentCoroutineContext().isActive
    if (failure != null && (isCancelled || !failure.isRecoverable)) throw failure
    return failure
}

/** Whether code can go on after this: an overflow of the stack has unwound the frames that caused it. */
internal val Throwable.isRecoverable: Boolean get() = this is Exception || this is StackOverflowError
