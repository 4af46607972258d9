package org.parsleymoor.placement

import org.parsleymoor.context.PrefixMatch
import org.parsleymoor.core.RegionId

/**
 * A prompt to place. [contextPieces] counts its full pieces and [remainderTokens] the tokens after them; [matches] is
 * what the cache directory knows about the prefix. [region] is the region of the gateway; [crossRegionTextBytes] is the
 * text that another region lacks and that is sent over the link if the request goes there.
 */
public data class PlacementRequest(
    public val contextPieces: Int,
    public val remainderTokens: Int,
    public val region: RegionId,
    public val crossRegionTextBytes: Long,
    public val matches: List<PrefixMatch> = emptyList(),
)
