package org.parsleymoor.relay.placement

import org.parsleymoor.core.ModelId

/**
 * The weights that a model should have: [version], since [sinceMillis]. [earlier] are those named before, which may not
 * be in place everywhere yet. Null in place of this object before any has been named.
 */
public data class TargetWeights(
    public val model: ModelId,
    public val version: Long,
    public val sinceMillis: Long,
    public val earlier: List<TargetWeights> = emptyList(),
) {
    /** Returns since when weights of [olderVersion] are out of date: since the first newer version was named. */
    public fun outdatedSinceMillis(olderVersion: Long): Long =
        earlier.filter { it.version > olderVersion }.minOfOrNull { it.sinceMillis } ?: sinceMillis

    /** Returns these weights as those that replace [known]. */
    public fun replacing(known: TargetWeights?): TargetWeights =
        copy(earlier = (known?.let { it.earlier + it.copy(earlier = emptyList()) }.orEmpty()).takeLast(KEPT_VERSIONS))

    private companion object {
        // More versions than are named within the time for which an engine may lag behind.
        const val KEPT_VERSIONS = 16
    }
}
