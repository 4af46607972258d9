package org.parsleymoor.execution.atmostonce

/** The result of a platform operation that a [ClaimLedger] requested. */
public sealed interface ClaimEvent {
    /** The shard that the operation belongs to. */
    public val shard: Int

    /** The head was read; [stored] is null if it does not exist. */
    public data class HeadRead(override val shard: Int, public val stored: StoredHead?) : ClaimEvent

    /** The claims of a sealed segment were read. */
    public data class SegmentRead(
        override val shard: Int,
        public val number: Long,
        public val claims: List<Claim>,
    ) : ClaimEvent

    /** A read failed, or the platform cannot be reached. */
    public data class ReadFailed(override val shard: Int) : ClaimEvent

    /** The head write [writeId] took effect. */
    public data class HeadWritten(
        override val shard: Int,
        public val writeId: String,
        public val version: Long,
    ) : ClaimEvent

    /** The head write [writeId] was rejected because the head has another version. */
    public data class HeadConflicted(
        override val shard: Int,
        public val writeId: String,
        public val current: StoredHead?,
    ) : ClaimEvent

    /** The head write [writeId] failed; [mayHaveTakenEffect] if its response was lost. */
    public data class HeadWriteFailed(
        override val shard: Int,
        public val writeId: String,
        public val mayHaveTakenEffect: Boolean,
    ) : ClaimEvent

    /** The segment exists with the requested content, written by this or another process. */
    public data class SegmentWritten(override val shard: Int, public val number: Long) : ClaimEvent

    /** The segment write failed. */
    public data class SegmentWriteFailed(override val shard: Int, public val number: Long) : ClaimEvent
}

/** What the user of a [ClaimLedger] has to do; the ledger does no I/O itself. */
public sealed interface ClaimAction {
    /** Run, answer or forward a call. */
    public data class Execute(public val action: ExecutionAction) : ClaimAction

    /** Read `claims/{shard}`. */
    public data class ReadHead(public val shard: Int) : ClaimAction

    /** Read `claims/{shard}.{number}`. */
    public data class ReadSegment(public val shard: Int, public val number: Long) : ClaimAction

    /** Write the head by conditional update; [calls] is the number of calls that wait for the write. */
    public data class WriteHead(
        public val shard: Int,
        public val head: ClaimHead,
        public val expectedVersion: Long,
        public val writeId: String,
        public val calls: Int,
    ) : ClaimAction

    /** Create the segment; one that already exists has the same content and counts as written. */
    public data class WriteSegment(
        public val shard: Int,
        public val number: Long,
        public val claims: List<Claim>,
    ) : ClaimAction

    /** Delete a segment whose claims are all older than the retention time. */
    public data class DeleteSegment(public val shard: Int, public val number: Long) : ClaimAction
}
