package org.parsleymoor.placement

import org.parsleymoor.context.HeldBlock
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.Failure

/** How an engine obtains the part of a request's prefix that is not in its own KV cache. */
public sealed interface PrefixSource {
    /** Nothing is imported; the engine recomputes what it does not hold. */
    public data object EngineOnly : PrefixSource

    /** Before the prefill, [blocks] are imported from [store]; they continue the prefix that the engine holds. */
    public data class Import(public val store: EndpointId, public val blocks: List<HeldBlock>) : PrefixSource
}

/**
 * Estimated time to first token and its parts, in milliseconds. Only [totalMillis] includes the engine's correction
 * factor.
 */
public data class Estimate(
    public val waitMillis: Double,
    public val prefixMillis: Double,
    public val prefillMillis: Double,
    public val networkMillis: Double,
    public val totalMillis: Double,
)

/** The engine chosen for a request, and the work that the choice implies. Counts are pieces of the prompt. */
public data class Placement(
    public val endpoint: EndpointId,
    public val prefix: PrefixSource,
    public val piecesOnEngine: Int,
    public val recomputedPieces: Int,
    public val estimate: Estimate,
)

/** None of the [engines] engines in the view accepts work. The request has not been sent anywhere. */
public data class NoEngineAvailable(public val engines: Int) : Failure {
    override val message: String get() = "expected an engine that accepts work, found none among $engines"
}
