package org.parsleymoor.execution.atmostonce

/** What a [ClaimLedger] is told about the platform. */
public sealed interface ClaimEvent {
    /** The shard whose objects the event is about. */
    public val shard: Int

    /** A read shows the head; null when there is none. */
    public data class HeadRead(override val shard: Int, public val stored: StoredHead?) : ClaimEvent

    /** A read shows the claims of a sealed segment. */
    public data class SegmentRead(
        override val shard: Int,
        public val number: Long,
        public val claims: List<Claim>,
    ) : ClaimEvent

    /** A read failed, or the platform does not answer at all. */
    public data class ReadFailed(override val shard: Int) : ClaimEvent

    /** The head write [writeId] took effect. */
    public data class HeadWritten(
        override val shard: Int,
        public val writeId: String,
        public val version: Long,
    ) : ClaimEvent

    /** The head write [writeId] met another version. */
    public data class HeadConflicted(
        override val shard: Int,
        public val writeId: String,
        public val current: StoredHead?,
    ) : ClaimEvent

    /** The head write [writeId] failed; with [mayHaveTakenEffect] its response was lost. */
    public data class HeadWriteFailed(
        override val shard: Int,
        public val writeId: String,
        public val mayHaveTakenEffect: Boolean,
    ) : ClaimEvent

    /** The segment exists with the content that was asked for, written by this process or another. */
    public data class SegmentWritten(override val shard: Int, public val number: Long) : ClaimEvent

    /** The segment write failed. */
    public data class SegmentWriteFailed(override val shard: Int, public val number: Long) : ClaimEvent
}

/** What a [ClaimLedger] asks its shell to do. */
public sealed interface ClaimAction {
    /** Run, answer or forward a call. */
    public data class Execute(public val action: ExecutionAction) : ClaimAction

    /** Read `claims/{shard}`. */
    public data class ReadHead(public val shard: Int) : ClaimAction

    /** Read `claims/{shard}.{number}`. */
    public data class ReadSegment(public val shard: Int, public val number: Long) : ClaimAction

    /** Write the head by conditional update; [calls] is the number of calls that wait for it. */
    public data class WriteHead(
        public val shard: Int,
        public val head: ClaimHead,
        public val expectedVersion: Long,
        public val writeId: String,
        public val calls: Int,
    ) : ClaimAction

    /** Create the segment; a segment that exists has the same content and counts as written. */
    public data class WriteSegment(
        public val shard: Int,
        public val number: Long,
        public val claims: List<Claim>,
    ) : ClaimAction

    /** Delete a segment whose claims are all older than the retention. */
    public data class DeleteSegment(public val shard: Int, public val number: Long) : ClaimAction
}
