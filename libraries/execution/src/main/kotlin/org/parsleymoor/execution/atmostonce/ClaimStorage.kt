package org.parsleymoor.execution.atmostonce

import org.parsleymoor.core.Incarnation
import org.parsleymoor.core.PendingUpdate

/** Reads and writes the objects of one shard. The number of a segment is the head version whose claims it holds. */
internal class ClaimStorage(
    private val shard: Int,
    private val self: Incarnation,
    private val settings: ClaimSettings,
    private val operations: PendingClaimOperations,
    private val retention: ClaimRetention,
) {
    private var writeCount = 0L

    /** Writes a claim for every key in [queue]; if the head is full, moves its claims to a new segment first. */
    fun commit(nowMillis: Long, stored: StoredHead, queue: ClaimQueue): List<ClaimAction> {
        if (queue.isEmpty || !operations.mayWrite(nowMillis)) return emptyList()
        val full = stored.head.claims.isNotEmpty() && stored.head.encodedBytes > settings.sealBytes
        return listOf(if (full) seal(nowMillis, stored) else append(nowMillis, stored, queue))
    }

    /** Replaces the claims of [stored], which the segment of its version now holds, by those of the waiting keys. */
    fun commitSealed(nowMillis: Long, stored: StoredHead, queue: ClaimQueue): List<ClaimAction> {
        val sealed = SegmentReference(stored.version, stored.head.claims.maxOf { it.claimedMillis })
        val head = ClaimHead(queue.batch(nowMillis), stored.head.segments + sealed)
        return listOf(write(nowMillis, stored, head, queue.callCount()))
    }

    /** Returns deletions of the segments that the head no longer refers to since the write [writeId] took effect. */
    fun deletions(writeId: String): List<ClaimAction> =
        operations.write.of(writeId)?.content?.expiredSegments.orEmpty().map { ClaimAction.DeleteSegment(shard, it) }

    /** Reads the head, unless a read is in progress or a call to the platform has just failed. */
    fun readHead(nowMillis: Long): List<ClaimAction> {
        if (operations.headReadMillis != null || operations.failedRecently(nowMillis)) return emptyList()
        operations.headReadMillis = nowMillis
        return listOf(ClaimAction.ReadHead(shard))
    }

    /** Reads the segments [numbers], unless a read is in progress. */
    fun readSegments(nowMillis: Long, numbers: List<Long>): List<ClaimAction> {
        if (operations.segmentReadMillis != null) return emptyList()
        operations.segmentReadMillis = nowMillis
        return numbers.map { ClaimAction.ReadSegment(shard, it) }
    }

    private fun seal(nowMillis: Long, stored: StoredHead): ClaimAction {
        operations.sealMillis = nowMillis
        return ClaimAction.WriteSegment(shard, stored.version, stored.head.claims)
    }

    private fun append(nowMillis: Long, stored: StoredHead, queue: ClaimQueue): ClaimAction {
        val head = stored.head.copy(claims = stored.head.claims + queue.batch(nowMillis))
        return write(nowMillis, stored, head, queue.callCount())
    }

    // An expired segment is deleted only after the head no longer refers to it, because a process that cannot find a
    // segment has to refuse every call of the shard.
    private fun write(nowMillis: Long, stored: StoredHead, unfiltered: ClaimHead, waitingCalls: Int): ClaimAction {
        val oldestMillis = nowMillis - retention.millis
        val (kept, expired) = unfiltered.segments.partition { it.newestMillis >= oldestMillis }
        val head = ClaimHead(unfiltered.claims.filter { it.claimedMillis >= oldestMillis }, kept)
        val writeId = "$self/$shard/${writeCount++}"
        operations.startWrite(PendingUpdate(writeId, nowMillis, HeadUpdate(head, expired.map { it.number })))
        return ClaimAction.WriteHead(shard, head, stored.version, writeId, waitingCalls)
    }
}
