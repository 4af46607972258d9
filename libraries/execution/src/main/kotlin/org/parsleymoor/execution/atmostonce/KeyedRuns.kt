package org.parsleymoor.execution.atmostonce

import org.parsleymoor.core.RequestId

/**
 * Limits of what a ledger remembers: [responses] finished runs with at most [responseBytes] of response bodies;
 * [waitersPerKey] requests that wait for the run of another request with the same key; [releasedKeys] keys that
 * belong to this process and may still run; and [refusedRequests] requests, of which a second copy is refused too.
 */
public data class RunHistorySettings(
    public val responseBytes: Long = 8_388_608,
    public val responses: Int = 20_000,
    public val waitersPerKey: Int = 16,
    public val releasedKeys: Int = 10_000,
    public val refusedRequests: Int = 10_000,
)

/**
 * The runs of one process by key: at most one run per key, with the requests that wait for it and its outcome. A key
 * whose entry was evicted is never run again; the caller of [decide] says whether a key has never been dispatched.
 */
internal class KeyedRuns(private val settings: RunHistorySettings) {
    private val running = HashMap<String, Run>()
    private val finished = LinkedHashMap<String, Finished>()
    private val released = LinkedHashSet<String>()
    private val refused = LinkedHashSet<RequestId>()
    private var storedBytes = 0L

    /**
     * Returns whether this process dispatched [key] and remembers the run. A released key does not count: its claim may
     * not have taken effect, in which case another process may run it.
     */
    fun hasRun(key: String): Boolean = key in running || key in finished

    /** Returns the refusal of [call] if a copy of it was refused before. */
    fun earlierRefusal(call: KeyedCall): ExecutionAction? =
        if (call.request in refused) call.answerNotRun(NotRunReason.ENDPOINT_REFUSED) else null

    /** Decides on [call]; null if it waits for the run of its key. [isNew]: the key was never dispatched. */
    fun decide(key: String, call: KeyedCall, isNew: Boolean): ExecutionAction? {
        val run = running[key]
        val result = finished[key]
        return when {
            call.request in refused -> earlierRefusal(call)
            run != null -> waitFor(run, call)
            result != null -> replay(result, call)
            released.remove(key) || isNew -> ExecutionAction.Run(call).also { running[key] = Run(mutableListOf(call)) }
            else -> call.answerUnknown(UnknownReason.RESPONSE_NOT_KEPT)
        }
    }

    /** Records how the run of [key] ended and returns the answers of all requests that waited for it. */
    fun finish(key: String, outcome: RunOutcome): List<ExecutionAction> {
        val run = running.remove(key) ?: return emptyList()
        if (outcome is RunOutcome.NotRun) release(key) else store(key, Finished(run.calls.first().fingerprint, outcome))
        return run.calls.map { answer(it, outcome) }
    }

    /** Releases [key], which belongs to this process and has not run, so that it may still be dispatched. */
    fun release(key: String) = released.addWithin(settings.releasedKeys, key)

    /** Refuses [call]; copies that arrive later are refused as well. */
    fun refuse(call: KeyedCall, reason: NotRunReason): ExecutionAction {
        refused.addWithin(settings.refusedRequests, call.request)
        return call.answerNotRun(reason)
    }

    private fun waitFor(run: Run, call: KeyedCall): ExecutionAction? = when {
        run.calls.any { it.request == call.request } -> null
        run.calls.first().fingerprint != call.fingerprint -> refuse(call, NotRunReason.KEY_REUSED_FOR_ANOTHER_CALL)
        run.calls.size > settings.waitersPerKey -> refuse(call, NotRunReason.TOO_MANY_WAITING)
        else -> null.also { run.calls += call }
    }

    private fun replay(result: Finished, call: KeyedCall): ExecutionAction =
        if (result.fingerprint == call.fingerprint) {
            answer(call, result.outcome)
        } else {
            refuse(call, NotRunReason.KEY_REUSED_FOR_ANOTHER_CALL)
        }

    private fun answer(call: KeyedCall, outcome: RunOutcome): ExecutionAction = when (outcome) {
        is RunOutcome.Responded -> ExecutionAction.Answer(call.request, ExecutionAnswer.Response(outcome.response))
        is RunOutcome.NotRun -> refuse(call, NotRunReason.ENDPOINT_REFUSED)
        is RunOutcome.Unknown -> call.answerUnknown(UnknownReason.ENDPOINT_LOST)
    }

    private fun store(key: String, result: Finished) {
        finished[key] = result
        storedBytes += result.bytes
        val oldest = finished.entries.iterator()
        while (storedBytes > settings.responseBytes || finished.size > settings.responses) {
            storedBytes -= oldest.next().value.bytes
            oldest.remove()
        }
    }

    private class Run(val calls: MutableList<KeyedCall>)

    private class Finished(val fingerprint: String, val outcome: RunOutcome) {
        val bytes: Int get() = (outcome as? RunOutcome.Responded)?.response?.body?.size ?: 0
    }
}

internal fun KeyedCall.answerNotRun(reason: NotRunReason): ExecutionAction =
    ExecutionAction.Answer(request, ExecutionAnswer.NotRun(reason))

internal fun KeyedCall.answerUnknown(reason: UnknownReason): ExecutionAction =
    ExecutionAction.Answer(request, ExecutionAnswer.Unknown(reason))

private fun <T> LinkedHashSet<T>.addWithin(limit: Int, element: T) {
    add(element)
    val oldest = iterator()
    while (size > limit) {
        oldest.next()
        oldest.remove()
    }
}
