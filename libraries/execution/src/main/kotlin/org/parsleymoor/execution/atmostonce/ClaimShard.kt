package org.parsleymoor.execution.atmostonce

import org.parsleymoor.core.Incarnation

/**
 * One shard of a [ClaimLedger]. A call waits until the head and all segments are known and its key is claimed. All keys
 * that wait when a write may start share that write (group commit). The conditional update succeeds only when no other
 * process changed the shard since, so a claim that is written is the first on its key.
 */
internal class ClaimShard(
    private val shard: Int,
    self: Incarnation,
    settings: ClaimSettings,
    private val runs: KeyedRuns,
    retention: ClaimRetention,
) {
    private val index = ClaimIndex()
    private val calls = ClaimCalls(settings)
    private val queue = ClaimQueue(self, settings, runs)
    private val requests = ClaimRequests(shard, self, settings, calls, retention)

    fun call(nowMillis: Long, key: String, call: KeyedCall): List<ClaimAction> = when {
        queue.isFull -> listOf(runs.refuse(call, NotRunReason.TOO_MANY_WAITING)).asClaimActions()
        calls.failedRecently(nowMillis) ->
            listOf(runs.refuse(call, NotRunReason.PLATFORM_UNAVAILABLE)).asClaimActions()
        else -> {
            queue.add(nowMillis, key, call)
            progress(nowMillis)
        }
    }

    fun handle(nowMillis: Long, event: ClaimEvent): List<ClaimAction> = when (event) {
        is ClaimEvent.HeadRead -> acceptHead(nowMillis, event.stored)
        is ClaimEvent.SegmentRead -> acceptSegment(nowMillis, event)
        is ClaimEvent.HeadWritten -> requests.deletions(event.writeId) +
            settle(nowMillis, event.writeId) { StoredHead(it.head, event.version, event.writeId) }
        is ClaimEvent.HeadConflicted -> settle(nowMillis, event.writeId) { event.current }
        is ClaimEvent.HeadWriteFailed -> failWrite(nowMillis, event)
        is ClaimEvent.SegmentWritten -> commitSealed(nowMillis, event.number)
        is ClaimEvent.SegmentWriteFailed -> refuseAll(nowMillis)
        is ClaimEvent.ReadFailed -> {
            index.doubt()
            refuseAll(nowMillis)
        }
    }

    fun tick(nowMillis: Long): List<ClaimAction> {
        if (calls.overdue(nowMillis)) return refuseAll(nowMillis)
        return queue.expire(nowMillis).asClaimActions() + progress(nowMillis)
    }

    private fun progress(nowMillis: Long): List<ClaimAction> {
        val stored = index.known
        return when {
            calls.write.pending?.uncertain == true -> requests.readHead(nowMillis)
            queue.isEmpty -> emptyList()
            stored == null || index.doubted -> requests.readHead(nowMillis)
            index.missingSegments().isNotEmpty() -> requests.readSegments(nowMillis, index.missingSegments())
            else -> queue.resolve(index).asClaimActions() + requests.commit(nowMillis, stored, queue)
        }
    }

    private fun acceptHead(nowMillis: Long, stored: StoredHead?): List<ClaimAction> {
        calls.headReadMillis = null
        calls.write.endUncertain()
        index.accept(stored)
        return progress(nowMillis)
    }

    private fun acceptSegment(nowMillis: Long, event: ClaimEvent.SegmentRead): List<ClaimAction> {
        if (event.number in index.missingSegments()) index.acceptSegment(event.number, event.claims)
        if (index.missingSegments().isEmpty()) calls.segmentReadMillis = null
        return progress(nowMillis)
    }

    private fun settle(nowMillis: Long, writeId: String, stored: (HeadUpdate) -> StoredHead?): List<ClaimAction> {
        val ended = calls.write.end(writeId) ?: return emptyList()
        index.accept(stored(ended.content))
        return progress(nowMillis)
    }

    private fun commitSealed(nowMillis: Long, number: Long): List<ClaimAction> {
        val stored = index.known
        val expected = calls.sealMillis != null && calls.write.pending == null && stored?.version == number
        calls.sealMillis = null
        if (stored == null || !expected) return progress(nowMillis)
        index.acceptSegment(number, stored.head.claims)
        return requests.commitSealed(nowMillis, stored, queue)
    }

    private fun failWrite(nowMillis: Long, event: ClaimEvent.HeadWriteFailed): List<ClaimAction> = when {
        calls.write.of(event.writeId) == null -> emptyList()
        event.mayHaveTakenEffect -> {
            calls.write.markUncertain()
            progress(nowMillis)
        }
        else -> {
            calls.write.end(event.writeId)
            refuseAll(nowMillis)
        }
    }

    private fun refuseAll(nowMillis: Long): List<ClaimAction> {
        calls.fail(nowMillis)
        return queue.refuseAll().asClaimActions()
    }
}

private fun List<ExecutionAction>.asClaimActions(): List<ClaimAction> = map { ClaimAction.Execute(it) }
