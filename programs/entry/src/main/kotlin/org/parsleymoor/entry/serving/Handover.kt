package org.parsleymoor.entry.serving

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch

/** Why an attempt was ended in favour of the one beside it. */
internal enum class AttemptEnd(val reason: String) {
    TAKEN_OVER("another endpoint went on while this one was silent"),
    PREDECESSOR_RESUMED("the silent endpoint before this one went on"),
    NO_SIGN_OF_LIFE("this endpoint is silent like the one before it"),
}

/**
 * Moves a request from an attempt at a silent endpoint to a successor without ending the attempt first, because a sound
 * endpoint may be silent for a second or more, and the successor may be refused. The attempt that first has something
 * for the caller ends the other. Each attempt has a handover; [predecessor] is that of the attempt which it is to
 * replace, or null. Coroutines run in [scope]. Confined to the event loop.
 */
internal class Handover(
    private val scope: CoroutineScope,
    private val predecessor: Handover?,
    private val startSuccessor: (Handover) -> (suspend () -> AttemptResult)?,
) {
    /** Why the attempt was ended, or null if it has not been ended by another one. */
    var end: AttemptEnd? = null
        private set

    /** Whether the request, or a part of it, may have been written. */
    var sent = false
        private set

    private var attempt: Deferred<AttemptResult>? = null
    private var overlapLimit: Job? = null
    private var successor: Handover? = null
    private var successorResult: Deferred<AttemptResult>? = null
    private val isRunning: Boolean get() = attempt?.isActive == true

    init {
        predecessor?.successor = this
    }

    /** Runs the [attempt]; returns its result, or null if it was [ended][end] by the one beside it. */
    suspend fun run(attempt: suspend () -> AttemptResult): AttemptResult? {
        val running = scope.async { attempt() }
        this.attempt = running
        running.join()
        overlapLimit?.cancel()
        return if (end == null) running.await() else null
    }

    /**
     * Records that the request is being written. If [maxOverlapMillis] is not null, no more than this time passes until
     * one of two attempts is ended: the earlier if [showsLife] says that the endpoint of this one has given a sign of
     * life.
     */
    fun requestSent(maxOverlapMillis: Long?, showsLife: () -> Boolean) {
        sent = true
        if (maxOverlapMillis == null || predecessor == null) return
        overlapLimit = scope.launch {
            delay(maxOverlapMillis)
            if (showsLife()) {
                takeOver()
            } else if (predecessor.isRunning) {
                stop(AttemptEnd.NO_SIGN_OF_LIFE)
            }
        }
    }

    /** Starts a successor if there is an endpoint for it. Called repeatedly while the endpoint is silent. */
    fun onSilence() {
        if (predecessor?.isRunning == true || successorResult?.isActive == true) return
        val start = startSuccessor(this) ?: return
        successorResult = scope.async(start = CoroutineStart.UNDISPATCHED) { start() }
    }

    /** Ends the attempts beside this one, because this one has something for the caller. */
    suspend fun takeOver() {
        currentCoroutineContext().ensureActive()
        successor?.stop(AttemptEnd.PREDECESSOR_RESUMED)
        predecessor?.stop(AttemptEnd.TAKEN_OVER)
        predecessor?.attempt?.join()
    }

    /**
     * Returns the result that the caller learns of: [own], the result of this attempt, or that of its successor if the
     * successor has taken over or has a response. Suspends while a successor is running.
     */
    suspend fun resultForCaller(own: AttemptResult): AttemptResult {
        val takenOver = end == AttemptEnd.TAKEN_OVER
        val next = successorResult?.takeIf { takenOver || it.isActive }?.await()
        return when {
            own is AttemptResult.Delivered || next == null -> own
            takenOver || next is AttemptResult.Delivered || next is AttemptResult.Failed -> next
            else -> own
        }
    }

    private fun stop(reason: AttemptEnd) {
        if (!isRunning) return
        end = reason
        attempt?.cancel()
    }
}
