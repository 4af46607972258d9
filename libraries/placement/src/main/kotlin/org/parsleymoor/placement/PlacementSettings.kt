package org.parsleymoor.placement

import org.parsleymoor.context.PromptHashes

/**
 * Sizes and prices of a placement. [blockBytes] is the KV block of one piece of [pieceTokens] tokens. A price is added
 * to the estimated time when engines are compared: [regionLinkPriceMillisPerMegabyte] for text that crosses regions,
 * [storeLinkPrice] for each millisecond of a store's link and [prefillPrice] for each of an engine's prefill. Engines
 * within [nearEqualShare] or [nearEqualMillis] of the best are sampled.
 */
public data class PlacementSettings(
    public val blockBytes: Long = 100_000_000,
    public val pieceTokens: Int = PromptHashes.PIECE_TOKENS,
    public val regionLinkPriceMillisPerMegabyte: Double = 40_000.0,
    public val storeLinkPrice: Double = 0.2,
    public val prefillPrice: Double = 1.0,
    public val nearEqualShare: Double = 0.05,
    public val nearEqualMillis: Double = 5.0,
)
