package org.parsleymoor.placement

import org.parsleymoor.context.PromptHashes

/**
 * Sizes and prices that placement uses. [blockBytes] is the size of the KV block of one piece of [pieceTokens] tokens.
 * A price is a penalty for the use of a shared resource; it is added to the estimated time when engines are compared:
 * [regionLinkPriceMillisPerMegabyte] for text that crosses regions, [storeLinkPrice] for each millisecond on a store's
 * link and [prefillPrice] for each millisecond of prefill. Engines count as equal when their cost exceeds the lowest by
 * at most [nearEqualMillis] or a [nearEqualShare] of it, whichever is more.
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
