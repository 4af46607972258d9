package org.parsleymoor.coordination

import org.parsleymoor.core.EndpointId

/** Whether an engine rejects an order with a stale fencing token. */
public enum class Fencing { CHECKED, IGNORED }

/** An engine and the content that it should hold, such as its weight versions. */
public data class OrderTarget<out C : Any>(
    public val endpoint: EndpointId,
    public val wanted: C,
    public val fencing: Fencing,
)

/** The content that an engine reports; [loading] is the content that it is changing to, or null. */
public data class EngineState<out C : Any>(
    public val content: C,
    public val loading: C?,
)

/** How an engine answered an order. */
public enum class OrderOutcome {
    /** The engine carries out the order or already holds the wanted content. */
    ACCEPTED,

    /** The engine has seen a higher fencing token. */
    STALE,

    /** The engine refused the order for another reason or was not reached. */
    REFUSED,

    /** No response; the order may have taken effect. */
    LOST,
}

/** An input of an [OrderReconciler]. */
public sealed interface OrderEvent<out C : Any> {
    /** The wanted contents; engines without a target get no orders. At most [concurrentLoads] load at a time. */
    public data class Targets<out C : Any>(
        public val targets: List<OrderTarget<C>>,
        public val concurrentLoads: Int? = null,
    ) : OrderEvent<C>

    /** The result of the read [readId] of [endpoint]; [state] is null if the read failed. */
    public data class StateRead<out C : Any>(
        public val endpoint: EndpointId,
        public val readId: Long,
        public val state: EngineState<C>?,
    ) : OrderEvent<C>

    /** The outcome of the order [orderId]. */
    public data class Answered(
        public val endpoint: EndpointId,
        public val orderId: String,
        public val outcome: OrderOutcome,
    ) : OrderEvent<Nothing>

    /** Time has passed, or the lease has changed. */
    public data object Tick : OrderEvent<Nothing>
}

/** What the user of an [OrderReconciler] has to do; the reconciler does no I/O itself. */
public sealed interface OrderAction<out C : Any> {
    /** Read the state of [endpoint] and report it with [readId]. */
    public data class ReadState(public val endpoint: EndpointId, public val readId: Long) : OrderAction<Nothing>

    /**
     * Send an order to [endpoint]. The sender checks the lease again immediately before it writes the order, and
     * refuses the order if the lease is lost or has another token. It gives up if the order is not delivered within
     * nine tenths of the delivery timeout, never sends the order again on its own, and always reports an outcome.
     */
    public data class SendOrder<out C : Any>(
        public val endpoint: EndpointId,
        public val orderId: String,
        public val fencingToken: Long,
        public val wanted: C,
    ) : OrderAction<C>
}
