package org.parsleymoor.coordination

/**
 * Bounds of an [OrderReconciler]. States are read every [pollMillis] while something is to do and every [refreshMillis]
 * otherwise. An engine that cannot be read counts as loading for [loadMillis] after an order may have reached it.
 * Before its first order a new holder confirms the state of engines that check fencing tokens, [concurrentConfirmations]
 * at a time.
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
