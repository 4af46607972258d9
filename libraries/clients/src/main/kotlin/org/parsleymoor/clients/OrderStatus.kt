package org.parsleymoor.clients

import kotlinx.serialization.Serializable
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.ModelId
import org.parsleymoor.core.WeightVersion

/** Whether a gateway may send orders to engines. */
@Serializable
public enum class OrderLeaseState {
    /** Another gateway or none holds the lease on orders. */
    NOT_HELD,

    /** The gateway holds the lease and waits until orders of the holder before it can no longer arrive. */
    WAITING,

    /** The gateway holds the lease and sends orders. */
    HELD,
}

/**
 * What a gateway says of its orders to engines. The lease can be used for [remainingMillis] unless it is renewed;
 * [unfinished] engines do not hold yet what the configuration wants, empty without the lease.
 */
@Serializable
public data class OrderStatus(
    public val lease: OrderLeaseState = OrderLeaseState.NOT_HELD,
    public val fencingToken: Long = 0,
    public val remainingMillis: Long = 0,
    public val unfinished: List<EndpointId> = emptyList(),
)

/** How far a rollout is according to the load reports of one gateway: of [engines], these hold or load its version. */
@Serializable
public data class RolloutStatus(
    public val name: String,
    public val model: ModelId,
    public val version: WeightVersion,
    public val engines: Int,
    public val loaded: List<EndpointId> = emptyList(),
    public val loading: List<EndpointId> = emptyList(),
)
