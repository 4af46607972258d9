package org.parsleymoor.placement

import org.parsleymoor.context.HeldBlock
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.Failure

/** How an engine obtains the part of the prefix that it does not hold yet. */
public sealed interface PrefixSource {
    /** Nothing to obtain before the prefill; what the engine does not hold is recomputed. */
    public data object EngineOnly : PrefixSource

    /** [blocks], which follow the engine's own prefix, are imported from [store] before the prefill. */
    public data class Import(public val store: EndpointId, public val blocks: List<HeldBlock>) : PrefixSource
}

/** Parts of an estimated time to first token in milliseconds; [totalMillis] includes the correction. */
public data class Estimate(
    public val waitMillis: Double,
    public val prefixMillis: Double,
    public val prefillMillis: Double,
    public val networkMillis: Double,
    public val totalMillis: Double,
)

/** Where a request goes. */
public data class Placement(
    public val endpoint: EndpointId,
    public val prefix: PrefixSource,
    public val piecesOnEngine: Int,
    public val recomputedPieces: Int,
    public val estimate: Estimate,
)

/** No engine accepts the request; [engines] were considered. The request has not been sent anywhere. */
public data class NoEngineAvailable(public val engines: Int) : Failure {
    override val message: String get() = "expected an engine that accepts work, found none among $engines"
}
