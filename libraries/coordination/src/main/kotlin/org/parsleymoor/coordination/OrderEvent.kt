package org.parsleymoor.coordination

import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.WeightVersion

/** Whether an engine rejects an order with a stale fencing token. */
public enum class Fencing { CHECKED, IGNORED }

/** An engine of a rollout and the weight version it shall run. */
public data class OrderTarget(
    public val endpoint: EndpointId,
    public val version: WeightVersion,
    public val fencing: Fencing,
)

/** What an engine says that it runs; [loading] is the version it is moving to, null when it is not loading. */
public data class EngineState(
    public val version: WeightVersion,
    public val loading: WeightVersion?,
)

/** How an engine answered an order. */
public enum class OrderOutcome {
    /** The engine follows the order or is already in the desired state. */
    ACCEPTED,

    /** The engine has seen a higher fencing token. */
    STALE,

    /** The engine refused the order for another reason or was not reached. */
    REFUSED,

    /** No response; the order may have taken effect. */
    LOST,
}

/** What an [OrderPlan] is told. */
public sealed interface OrderEvent {
    /** The desired versions; engines that are left out get no orders. */
    public data class Targets(public val targets: List<OrderTarget>) : OrderEvent

    /** The state that [endpoint] reported to the read asked for by [OrderAction.ReadState]; null when it failed. */
    public data class StateRead(
        public val endpoint: EndpointId,
        public val readId: Long,
        public val state: EngineState?,
    ) : OrderEvent

    /** The answer to the order [orderId]. */
    public data class Answered(
        public val endpoint: EndpointId,
        public val orderId: String,
        public val outcome: OrderOutcome,
    ) : OrderEvent

    /** Time has passed, or the lease has changed. */
    public data object Tick : OrderEvent
}

/** What an [OrderPlan] asks its shell to do. */
public sealed interface OrderAction {
    /** Read the state of [endpoint] and report it with [readId]. */
    public data class ReadState(public val endpoint: EndpointId, public val readId: Long) : OrderAction

    /**
     * Send an order to [endpoint]. Immediately before the write the shell asks for the lease again and refuses the
     * order when that is lost or has another token. It gives the order up when it is not delivered within nine tenths
     * of the longest delivery time, never repeats it by itself, and always reports an outcome.
     */
    public data class SendOrder(
        public val endpoint: EndpointId,
        public val orderId: String,
        public val fencingToken: Long,
        public val version: WeightVersion,
    ) : OrderAction
}
