package org.parsleymoor.execution.atmostonce

import org.parsleymoor.core.Incarnation

/** The calls of one shard that wait until their keys are claimed. */
internal class ClaimQueue(
    private val self: Incarnation,
    private val settings: ClaimSettings,
    private val runs: KeyedRuns,
) {
    private val waiting = LinkedHashMap<String, WaitingKey>()

    val isEmpty: Boolean get() = waiting.isEmpty()
    val isFull: Boolean get() = waiting.size >= settings.waitingPerShard

    fun add(nowMillis: Long, key: String, call: KeyedCall) {
        waiting.getOrPut(key) { WaitingKey(nowMillis) }.add(call)
    }

    /** Removes each call whose key is claimed and decides on it. The [index] has to be complete. */
    fun resolve(index: ClaimIndex): List<ExecutionAction> {
        val claimed = waiting.keys.mapNotNull { key -> index.claimOf(key) }
        return claimed.flatMap { claim ->
            val entry = waiting.remove(claim.key)
            entry?.calls.orEmpty().mapNotNull { decide(claim, entry?.claimSent == true, it) }
        }
    }

    /** Returns a claim for each waiting key, for the next head write. */
    fun batch(nowMillis: Long): List<Claim> = waiting.map { (key, entry) ->
        entry.claimSent = true
        Claim(key, self, nowMillis)
    }

    fun callCount(): Int = waiting.values.sumOf { it.calls.size }

    /** Refuses the calls that have waited too long. */
    fun expire(nowMillis: Long): List<ExecutionAction> {
        val sinceMillis = nowMillis - settings.waitMillis
        val expired = waiting.filterValues { it.sinceMillis <= sinceMillis }.keys.toList()
        return expired.flatMap { refuseKey(it) }
    }

    /** Refuses all calls. */
    fun refuseAll(): List<ExecutionAction> = waiting.keys.toList().flatMap { refuseKey(it) }

    /** Refuses the calls of [key]. Its claim may still take effect; this process remembers that the key never ran. */
    private fun refuseKey(key: String): List<ExecutionAction> {
        val entry = waiting.remove(key) ?: return emptyList()
        if (entry.claimSent) runs.release(key)
        return entry.calls.map { runs.refuse(it, NotRunReason.PLATFORM_UNAVAILABLE) }
    }

    private fun decide(claim: Claim, claimSent: Boolean, call: KeyedCall): ExecutionAction? =
        if (claim.claimer == self) {
            runs.decide(claim.key, call, isNew = claimSent)
        } else {
            ExecutionAction.Forward(call, claim.claimer)
        }

    private class WaitingKey(val sinceMillis: Long) {
        val calls = ArrayList<KeyedCall>(1)
        var claimSent = false

        fun add(call: KeyedCall) {
            if (calls.none { it.request == call.request }) calls += call
        }
    }
}
