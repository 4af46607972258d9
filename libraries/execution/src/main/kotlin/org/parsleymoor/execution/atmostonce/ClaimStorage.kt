package org.parsleymoor.execution.atmostonce

import org.parsleymoor.core.Incarnation
import org.parsleymoor.core.PendingUpdate

/** Reads and writes the objects of one shard. A segment is named by the head version whose claims it holds. */
internal class ClaimStorage(
    private val shard: Int,
    private val self: Incarnation,
    private val settings: ClaimSettings,
    private val calls: PendingClaimOperations,
    private val retention: ClaimRetention,
) {
    private var writeCount = 0L

    /** Writes a claim for every call in [queue], or first seals a head that has no room for them. */
    fun commit(nowMillis: Long, stored: StoredHead, queue: ClaimQueue): List<ClaimAction> {
        if (queue.isEmpty || !calls.mayWrite(nowMillis)) return emptyList()
        val full = stored.head.claims.isNotEmpty() && stored.head.encodedBytes > settings.sealBytes
        return listOf(if (full) seal(nowMillis, stored) else append(nowMillis, stored, queue))
    }

    /** Replaces the claims of [stored], which are in the segment of its version, by the ones that wait. */
    fun commitSealed(nowMillis: Long, stored: StoredHead, queue: ClaimQueue): List<ClaimAction> {
        val sealed = SegmentReference(stored.version, stored.head.claims.maxOf { it.claimedMillis })
        val head = ClaimHead(queue.batch(nowMillis), stored.head.segments + sealed)
        return listOf(write(nowMillis, stored, head, queue.callCount()))
    }

    /** Returns the deletions that follow from the write [writeId], which has taken effect. */
    fun deletions(writeId: String): List<ClaimAction> =
        calls.write.of(writeId)?.content?.dropped.orEmpty().map { ClaimAction.DeleteSegment(shard, it) }

    /** Reads the head, unless that is under way or has just failed. */
    fun readHead(nowMillis: Long): List<ClaimAction> {
        if (calls.headReadMillis != null || calls.failedRecently(nowMillis)) return emptyList()
        calls.headReadMillis = nowMillis
        return listOf(ClaimAction.ReadHead(shard))
    }

    /** Reads the segments [numbers], unless that is under way. */
    fun readSegments(nowMillis: Long, numbers: List<Long>): List<ClaimAction> {
        if (calls.segmentReadMillis != null) return emptyList()
        calls.segmentReadMillis = nowMillis
        return numbers.map { ClaimAction.ReadSegment(shard, it) }
    }

    private fun seal(nowMillis: Long, stored: StoredHead): ClaimAction {
        calls.sealMillis = nowMillis
        return ClaimAction.WriteSegment(shard, stored.version, stored.head.claims)
    }

    private fun append(nowMillis: Long, stored: StoredHead, queue: ClaimQueue): ClaimAction {
        val head = stored.head.copy(claims = stored.head.claims + queue.batch(nowMillis))
        return write(nowMillis, stored, head, queue.callCount())
    }

    // A dropped segment is deleted only when the head no longer refers to it: a reader that cannot find a segment has
    // to refuse every call of the shard.
    private fun write(nowMillis: Long, stored: StoredHead, full: ClaimHead, waitingCalls: Int): ClaimAction {
        val oldestMillis = nowMillis - retention.millis
        val (kept, expired) = full.segments.partition { it.newestMillis >= oldestMillis }
        val head = ClaimHead(full.claims.filter { it.claimedMillis >= oldestMillis }, kept)
        val writeId = "$self/$shard/${writeCount++}"
        calls.startWrite(PendingUpdate(writeId, nowMillis, HeadUpdate(head, expired.map { it.number })))
        return ClaimAction.WriteHead(shard, head, stored.version, writeId, waitingCalls)
    }
}
