package org.parsleymoor.clients

import kotlinx.serialization.Serializable
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.ModelId
import org.parsleymoor.core.WeightVersion

/** Whether a gateway may send orders to engines. */
@Serializable
public enum class OrderLeaseState {
    /** This gateway does not hold the lease for sending orders. */
    NOT_HELD,

    /** The gateway holds the lease and waits until orders of the previous holder can no longer arrive. */
    WAITING,

    /** The gateway holds the lease and sends orders. */
    HELD,
}

/**
 * A gateway's status as a sender of orders to engines. The lease expires after [remainingMillis] unless it is renewed.
 * The [unfinished] engines have not reached their configured state; the list is empty without the lease.
 */
@Serializable
public data class OrderStatus(
    public val lease: OrderLeaseState = OrderLeaseState.NOT_HELD,
    public val fencingToken: Long = 0,
    public val remainingMillis: Long = 0,
    public val unfinished: List<EndpointId> = emptyList(),
)

/** Progress of a rollout to [engines] engines, according to the load reports that one gateway received. */
@Serializable
public data class RolloutStatus(
    public val name: String,
    public val model: ModelId,
    public val version: WeightVersion,
    public val engines: Int,
    public val loaded: List<EndpointId> = emptyList(),
    public val loading: List<EndpointId> = emptyList(),
)
