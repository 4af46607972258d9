package org.parsleymoor.coordination

/**
 * Limits and times of an [OrderReconciler]. At most [concurrentLoads] engines load at a time. The state of an engine is
 * read every [pollMillis] while it has to change and every [refreshMillis] otherwise; a read without a response is
 * repeated after [responseMillis]. An order can arrive for [deliveryTimeoutMillis]. An engine that cannot be read
 * counts as loading for [loadMillis] after an order may have reached it. Before its first order a new lease holder
 * confirms the state of engines that check fencing tokens, [concurrentConfirmations] at a time.
 */
public data class OrderSettings(
    public val concurrentLoads: Int = 2,
    public val concurrentConfirmations: Int = 32,
    public val pollMillis: Long = 500,
    public val refreshMillis: Long = 10_000,
    public val responseMillis: Long = 2_000,
    public val deliveryTimeoutMillis: Long = 2_000,
    public val loadMillis: Long = 10_000,
)
