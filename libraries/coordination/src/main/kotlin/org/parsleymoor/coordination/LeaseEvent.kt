package org.parsleymoor.coordination

/** An input of a [LeaseManager]. */
public sealed interface LeaseEvent {
    /** Whether this process wants to hold the lease. */
    public data class Wanted(public val wanted: Boolean) : LeaseEvent

    /** A read or a watch returned the lease object; [stored] is null if it does not exist. */
    public data class Seen(public val stored: StoredLease?) : LeaseEvent

    /** A read failed. */
    public data object ReadFailed : LeaseEvent

    /** The write [writeId] took effect and gave the object [version]. */
    public data class Written(public val writeId: String, public val version: Long) : LeaseEvent

    /** The write [writeId] was rejected because the object has another version. */
    public data class Conflicted(public val writeId: String, public val current: StoredLease?) : LeaseEvent

    /** The write [writeId] failed; [mayHaveTakenEffect] if its response was lost. */
    public data class WriteFailed(public val writeId: String, public val mayHaveTakenEffect: Boolean) : LeaseEvent

    /**
     * The store came back from an older copy, so that acknowledged writes may be gone, also those of other holders.
     * Versions seen from now on are above all earlier ones.
     */
    public data object StoreRestored : LeaseEvent

    /** Time has passed. */
    public data object Tick : LeaseEvent
}

/** What the user of a [LeaseManager] has to do; the manager does no I/O itself. */
public sealed interface LeaseAction {
    /** Read `leases/{name}` and report [LeaseEvent.Seen] or [LeaseEvent.ReadFailed]. */
    public data class Read(public val name: String) : LeaseAction

    /** Write [record] to `leases/{name}` if its version is [expectedVersion], and report the outcome. */
    public data class Write(
        public val name: String,
        public val record: LeaseRecord,
        public val expectedVersion: Long,
        public val writeId: String,
    ) : LeaseAction
}
