package org.parsleymoor.relay.placement

import org.parsleymoor.core.ModelId

/**
 * The weights that operators want every engine of [model] to have: [version], since [sinceMillis]. [previous] holds
 * earlier targets, which some engines may still lack.
 */
public data class TargetWeights(
    public val model: ModelId,
    public val version: Long,
    public val sinceMillis: Long,
    public val previous: List<TargetWeights> = emptyList(),
) {
    /** Returns when [olderVersion] became outdated: the time at which the first newer version became the target. */
    public fun outdatedSinceMillis(olderVersion: Long): Long =
        previous.filter { it.version > olderVersion }.minOfOrNull { it.sinceMillis } ?: sinceMillis

    /** Returns a copy that records [known], the former target if there was one, among the [previous] versions. */
    public fun replacing(known: TargetWeights?): TargetWeights =
        copy(previous = (known?.let { it.previous + it.copy(previous = emptyList()) }.orEmpty()).takeLast(MAX_PREVIOUS))

    private companion object {
        // More targets than operators set while an engine may still serve an older version.
        const val MAX_PREVIOUS = 16
    }
}
