package org.parsleymoor.execution.atmostonce

import org.parsleymoor.core.Incarnation

/**
 * One shard of a [ClaimLedger]. A call waits until the head and all segments have been read and its key is claimed. All
 * keys that wait when a write starts share that write (group commit). The conditional update succeeds only if no other
 * process has changed the shard in the meantime, so a claim that was written is the first on its key.
 */
internal class ClaimShard(
    private val shard: Int,
    self: Incarnation,
    settings: ClaimSettings,
    private val runs: KeyedRuns,
    retention: ClaimRetention,
) {
    private val index = ClaimIndex()
    private val operations = PendingClaimOperations(settings)
    private val queue = ClaimQueue(self, settings, runs)
    private val storage = ClaimStorage(shard, self, settings, operations, retention)

    fun call(nowMillis: Long, key: String, call: KeyedCall): List<ClaimAction> = when {
        queue.isFull -> listOf(runs.refuse(call, NotRunReason.TOO_MANY_WAITING)).asClaimActions()
        operations.failedRecently(nowMillis) ->
            listOf(runs.refuse(call, NotRunReason.PLATFORM_UNAVAILABLE)).asClaimActions()
        else -> {
            queue.add(nowMillis, key, call)
            advance(nowMillis)
        }
    }

    fun handle(nowMillis: Long, event: ClaimEvent): List<ClaimAction> = when (event) {
        is ClaimEvent.HeadRead -> acceptHead(nowMillis, event.stored)
        is ClaimEvent.SegmentRead -> acceptSegment(nowMillis, event)
        is ClaimEvent.HeadWritten -> storage.deletions(event.writeId) +
            endWrite(nowMillis, event.writeId) { StoredHead(it.head, event.version, event.writeId) }
        is ClaimEvent.HeadConflicted -> endWrite(nowMillis, event.writeId) { event.current }
        is ClaimEvent.HeadWriteFailed -> failWrite(nowMillis, event)
        is ClaimEvent.SegmentWritten -> commitSealed(nowMillis, event.number)
        is ClaimEvent.SegmentWriteFailed -> refuseAll(nowMillis)
        is ClaimEvent.ReadFailed -> {
            index.markStale()
            refuseAll(nowMillis)
        }
    }

    fun tick(nowMillis: Long): List<ClaimAction> {
        if (operations.isOverdue(nowMillis)) return refuseAll(nowMillis)
        return queue.expire(nowMillis).asClaimActions() + advance(nowMillis)
    }

    private fun advance(nowMillis: Long): List<ClaimAction> {
        val stored = index.newest
        return when {
            operations.write.pending?.uncertain == true -> storage.readHead(nowMillis)
            queue.isEmpty -> emptyList()
            stored == null || index.mayBeStale -> storage.readHead(nowMillis)
            index.missingSegments().isNotEmpty() -> storage.readSegments(nowMillis, index.missingSegments())
            else -> queue.resolve(index).asClaimActions() + storage.commit(nowMillis, stored, queue)
        }
    }

    private fun acceptHead(nowMillis: Long, stored: StoredHead?): List<ClaimAction> {
        operations.headReadMillis = null
        operations.write.endUncertain()
        index.acceptHead(stored)
        return advance(nowMillis)
    }

    private fun acceptSegment(nowMillis: Long, event: ClaimEvent.SegmentRead): List<ClaimAction> {
        if (event.number in index.missingSegments()) index.acceptSegment(event.number, event.claims)
        if (index.missingSegments().isEmpty()) operations.segmentReadMillis = null
        return advance(nowMillis)
    }

    private fun endWrite(nowMillis: Long, writeId: String, stored: (HeadUpdate) -> StoredHead?): List<ClaimAction> {
        val ended = operations.write.end(writeId) ?: return emptyList()
        index.acceptHead(stored(ended.content))
        return advance(nowMillis)
    }

    private fun commitSealed(nowMillis: Long, number: Long): List<ClaimAction> {
        val stored = index.newest
        val expected = operations.sealMillis != null && operations.write.pending == null && stored?.version == number
        operations.sealMillis = null
        if (stored == null || !expected) return advance(nowMillis)
        index.acceptSegment(number, stored.head.claims)
        return storage.commitSealed(nowMillis, stored, queue)
    }

    private fun failWrite(nowMillis: Long, event: ClaimEvent.HeadWriteFailed): List<ClaimAction> = when {
        operations.write.of(event.writeId) == null -> emptyList()
        event.mayHaveTakenEffect -> {
            operations.write.markUncertain()
            advance(nowMillis)
        }
        else -> {
            operations.write.end(event.writeId)
            refuseAll(nowMillis)
        }
    }

    private fun refuseAll(nowMillis: Long): List<ClaimAction> {
        operations.fail(nowMillis)
        return queue.refuseAll().asClaimActions()
    }
}

private fun List<ExecutionAction>.asClaimActions(): List<ClaimAction> = map { ClaimAction.Execute(it) }
