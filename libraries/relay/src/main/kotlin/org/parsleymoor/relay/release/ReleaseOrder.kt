package org.parsleymoor.relay.release

/**
 * An operator's order to move the traffic of [service] to its endpoints of release [target] within [durationMillis].
 * [created] tells the order from an earlier one for the same service.
 */
public data class ReleaseOrder(
    public val service: String,
    public val target: String,
    public val durationMillis: Long,
    public val created: Long = 0,
)

/** What has become of an order. */
public enum class ReleaseState { ACTIVE, COMPLETED, ROLLED_BACK }

/** The [state] of an order for [target], as it is written for the operator. */
public data class ReleaseStatus(public val state: ReleaseState, public val target: String)

/** An order as it is stored, with the status that was written for it or for an earlier target. */
public data class StoredRelease(public val order: ReleaseOrder, public val status: ReleaseStatus?) {
    /** The state of [order], or null before one was written. */
    public val state: ReleaseState? get() = status?.takeIf { it.target == order.target }?.state
}

/**
 * Bounds on the traffic of a release that may be bad: [share] of the requests for its service and [extra] more, and
 * [rollbackMillis] from its failures until it gets no more requests.
 */
public data class ExposureLimit(
    public val share: Double,
    public val extra: Double,
    public val rollbackMillis: Long,
)
