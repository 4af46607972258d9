package org.parsleymoor.placement

import org.parsleymoor.context.PrefixMatch
import org.parsleymoor.core.RegionId

/**
 * A prompt to place. [contextPieces] counts its full pieces and [remainderTokens] the tokens after them. [matches] are
 * the endpoints that hold a prefix of it according to the cache directory. [region] is the region of the gateway.
 * [crossRegionTextBytes] is the size of the text that would be sent over the link to an engine in another region.
 */
public data class PlacementRequest(
    public val contextPieces: Int,
    public val remainderTokens: Int,
    public val region: RegionId,
    public val crossRegionTextBytes: Long,
    public val matches: List<PrefixMatch> = emptyList(),
)
