package org.parsleymoor.explore

/** The mechanisms that are explored, each in a world of its own. */
internal enum class WorldKind { LEASES, COLD_START, EXECUTION, CONFIGURATION }

/** A fault that is put into one mechanism, to show that the checker finds it. */
internal enum class SeededFault(val world: WorldKind) {
    /** The lease is counted from the response in place of the request. */
    LEASE_COUNTED_FROM_RESPONSE(WorldKind.LEASES),

    /** A lease write that met another version is taken for a success. */
    LEASE_CONFLICT_IGNORED(WorldKind.LEASES),

    /** Engines that check fencing tokens no longer do. */
    FENCING_CHECK_DROPPED(WorldKind.LEASES),

    /** A new holder does not wait for orders of its predecessor to be delivered. */
    DELIVERY_WAIT_DROPPED(WorldKind.LEASES),

    /** A new holder takes every engine for idle without reading its state. */
    STATE_NOT_READ_BACK(WorldKind.LEASES),

    /** A gateway sends to a cold endpoint without the lease. */
    COLD_LEASE_IGNORED(WorldKind.COLD_START),

    /** A new holder does not count requests of its predecessor. */
    COLD_FOREIGN_WORK_IGNORED(WorldKind.COLD_START),

    /** A restarted process still honours the tickets of the process before. */
    TICKET_SURVIVES_RESTART(WorldKind.EXECUTION),

    /** A claim write that met another version is taken for a success. */
    CLAIM_CONFLICT_IGNORED(WorldKind.EXECUTION),

    /** A call whose claimer does not answer is run by the gateway that forwarded it. */
    LOST_FORWARD_RUN_AGAIN(WorldKind.EXECUTION),

    /** A forwarded call that is not answered is reported as not run. */
    LOST_FORWARD_REPORTED_NOT_RUN(WorldKind.EXECUTION),

    /** An offered configuration is applied without comparing its revision. */
    REVISION_IGNORED(WorldKind.CONFIGURATION),

    /** Revisions that peers name in heartbeats are ignored. */
    HEARTBEAT_REVISION_IGNORED(WorldKind.CONFIGURATION),
}
