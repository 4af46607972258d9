package org.parsleymoor.coordination

import org.parsleymoor.core.EndpointId

/** Whether an engine rejects an order with a stale fencing token. */
public enum class Fencing { CHECKED, IGNORED }

/** An engine and the content that it shall hold, such as its weight versions. */
public data class OrderTarget<out C : Any>(
    public val endpoint: EndpointId,
    public val wanted: C,
    public val fencing: Fencing,
)

/** What an engine says that it holds; [loading] is the content it is moving to, null when it is not loading. */
public data class EngineState<out C : Any>(
    public val content: C,
    public val loading: C?,
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

/** What an [OrderReconciler] is told. */
public sealed interface OrderEvent<out C : Any> {
    /** The desired contents; engines that are left out get no orders. At most [concurrentLoads] load at a time. */
    public data class Targets<out C : Any>(
        public val targets: List<OrderTarget<C>>,
        public val concurrentLoads: Int? = null,
    ) : OrderEvent<C>

    /** The state that [endpoint] reported to the read asked for by [OrderAction.ReadState]; null when it failed. */
    public data class StateRead<out C : Any>(
        public val endpoint: EndpointId,
        public val readId: Long,
        public val state: EngineState<C>?,
    ) : OrderEvent<C>

    /** The answer to the order [orderId]. */
    public data class Answered(
        public val endpoint: EndpointId,
        public val orderId: String,
        public val outcome: OrderOutcome,
    ) : OrderEvent<Nothing>

    /** Time has passed, or the lease has changed. */
    public data object Tick : OrderEvent<Nothing>
}

/** What an [OrderReconciler] asks its shell to do. */
public sealed interface OrderAction<out C : Any> {
    /** Read the state of [endpoint] and report it with [readId]. */
    public data class ReadState(public val endpoint: EndpointId, public val readId: Long) : OrderAction<Nothing>

    /**
     * Send an order to [endpoint]. Immediately before the write the shell asks for the lease again and refuses the
     * order when that is lost or has another token. It gives the order up when it is not delivered within nine tenths
     * of the longest delivery time, never repeats it by itself, and always reports an outcome.
     */
    public data class SendOrder<out C : Any>(
        public val endpoint: EndpointId,
        public val orderId: String,
        public val fencingToken: Long,
        public val wanted: C,
    ) : OrderAction<C>
}
