package org.parsleymoor.execution.atmostonce

import org.parsleymoor.core.RequestId

/**
 * Bounds of what a ledger remembers. [responseBytes] and [responses] limit finished responses; [waitersPerKey] limits
 * requests that wait for the run of another request with their key; [undispatchedKeys] and [refusedRequests] limit the
 * keys that may still run and the requests whose refusal has to stay true when they arrive twice.
 */
public data class RunHistorySettings(
    public val responseBytes: Long = 8_388_608,
    public val responses: Int = 20_000,
    public val waitersPerKey: Int = 16,
    public val undispatchedKeys: Int = 10_000,
    public val refusedRequests: Int = 10_000,
)

/**
 * The runs of one process by key: at most one for each, its waiters and its outcome. A key that is forgotten is never
 * run; the caller of [offer] says whether a key without an entry has never been dispatched.
 */
internal class KeyedRuns(private val settings: RunHistorySettings) {
    private val running = HashMap<String, Running>()
    private val finished = LinkedHashMap<String, Finished>()
    private val idle = LinkedHashSet<String>()
    private val refused = LinkedHashSet<RequestId>()
    private var keptBytes = 0L

    /**
     * Returns whether [key] was dispatched by this process and its run is remembered. An idle key does not count: its
     * claim may not have taken effect, and then another process may run it.
     */
    fun knows(key: String): Boolean = key in running || key in finished

    /** Returns the refusal of [call] when a copy of it was refused before. */
    fun refusedBefore(call: KeyedCall): ExecutionAction? =
        if (call.request in refused) call.answerNotRun(NotRunReason.ENDPOINT_REFUSED) else null

    /** Decides on [call]; null when it waits for the run of its key. [fresh]: the key was never dispatched. */
    fun offer(key: String, call: KeyedCall, fresh: Boolean): ExecutionAction? {
        val run = running[key]
        val result = finished[key]
        return when {
            call.request in refused -> refusedBefore(call)
            run != null -> join(run, call)
            result != null -> repeat(result, call)
            idle.remove(key) || fresh -> ExecutionAction.Run(call).also { running[key] = Running(mutableListOf(call)) }
            else -> call.answerUnknown(UnknownReason.RESPONSE_NOT_KEPT)
        }
    }

    /** Records how the run of [key] ended and returns the answers of all requests that waited for it. */
    fun finish(key: String, outcome: RunOutcome): List<ExecutionAction> {
        val run = running.remove(key) ?: return emptyList()
        if (outcome is RunOutcome.NotRun) makeIdle(key) else keep(key, Finished(run.calls.first().fingerprint, outcome))
        return run.calls.map { answer(it, outcome) }
    }

    /** Remembers that [key] belongs to this process and was not dispatched. */
    fun makeIdle(key: String) = idle.addWithin(settings.undispatchedKeys, key)

    /** Refuses [call]; a copy of it that arrives later is refused as well. */
    fun refuse(call: KeyedCall, reason: NotRunReason): ExecutionAction {
        refused.addWithin(settings.refusedRequests, call.request)
        return call.answerNotRun(reason)
    }

    private fun join(run: Running, call: KeyedCall): ExecutionAction? = when {
        run.calls.any { it.request == call.request } -> null
        run.calls.first().fingerprint != call.fingerprint -> refuse(call, NotRunReason.KEY_REUSED_FOR_ANOTHER_CALL)
        run.calls.size > settings.waitersPerKey -> refuse(call, NotRunReason.TOO_MANY_WAITING)
        else -> null.also { run.calls += call }
    }

    private fun repeat(result: Finished, call: KeyedCall): ExecutionAction =
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

    private fun keep(key: String, result: Finished) {
        finished[key] = result
        keptBytes += result.bytes
        val oldest = finished.entries.iterator()
        while (keptBytes > settings.responseBytes || finished.size > settings.responses) {
            keptBytes -= oldest.next().value.bytes
            oldest.remove()
        }
    }

    private class Running(val calls: MutableList<KeyedCall>)

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
