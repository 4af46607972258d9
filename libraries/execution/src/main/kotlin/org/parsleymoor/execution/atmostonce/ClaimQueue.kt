package org.parsleymoor.execution.atmostonce

import org.parsleymoor.core.Incarnation

/** The calls of one shard that wait until their key is claimed. */
internal class ClaimQueue(
    private val self: Incarnation,
    private val settings: ClaimSettings,
    private val runs: KeyedRuns,
) {
    private val waiting = LinkedHashMap<String, Waiting>()

    val isEmpty: Boolean get() = waiting.isEmpty()
    val isFull: Boolean get() = waiting.size >= settings.waitingPerShard

    fun add(nowMillis: Long, key: String, call: KeyedCall) {
        waiting.getOrPut(key) { Waiting(nowMillis) }.add(call)
    }

    /** Returns what to do with each call whose key is claimed in [index], which has to be complete. */
    fun resolve(index: ClaimIndex): List<ExecutionAction> {
        val claimed = waiting.keys.mapNotNull { key -> index.claimOf(key) }
        return claimed.flatMap { claim ->
            val entry = waiting.remove(claim.key)
            entry?.calls.orEmpty().mapNotNull { decide(claim, entry?.batched == true, it) }
        }
    }

    /** Returns a claim for each key that waits, to be written next. */
    fun batch(nowMillis: Long): List<Claim> = waiting.map { (key, entry) ->
        entry.batched = true
        Claim(key, self, nowMillis)
    }

    fun callCount(): Int = waiting.values.sumOf { it.calls.size }

    /** Refuses the calls that waited too long. */
    fun expire(nowMillis: Long): List<ExecutionAction> {
        val sinceMillis = nowMillis - settings.waitMillis
        val expired = waiting.filterValues { it.sinceMillis <= sinceMillis }.keys.toList()
        return expired.flatMap { giveUp(it) }
    }

    /** Refuses all calls. */
    fun refuseAll(): List<ExecutionAction> = waiting.keys.toList().flatMap { giveUp(it) }

    /** Refuses the calls of [key]. Its claim may still take effect, but this process then knows that it never ran. */
    private fun giveUp(key: String): List<ExecutionAction> {
        val entry = waiting.remove(key) ?: return emptyList()
        if (entry.batched) runs.makeIdle(key)
        return entry.calls.map { runs.refuse(it, NotRunReason.PLATFORM_UNAVAILABLE) }
    }

    private fun decide(claim: Claim, batched: Boolean, call: KeyedCall): ExecutionAction? =
        if (claim.claimer == self) {
            runs.offer(claim.key, call, fresh = batched)
        } else {
            ExecutionAction.Forward(call, claim.claimer)
        }

    private class Waiting(val sinceMillis: Long) {
        val calls = ArrayList<KeyedCall>(1)
        var batched = false

        fun add(call: KeyedCall) {
            if (calls.none { it.request == call.request }) calls += call
        }
    }
}
