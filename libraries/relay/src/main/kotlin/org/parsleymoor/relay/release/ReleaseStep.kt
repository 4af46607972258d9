package org.parsleymoor.relay.release

/**
 * How far the traffic has moved. In [TRIAL] and [LOADED] the exposure limit holds; in [LOADED] a few endpoints of the
 * target get as much of it as an endpoint carries when all traffic has moved. In [SHIFT] the traffic moves, and in
 * [CLOSED] the other endpoints get nothing more.
 */
public enum class ReleaseStage { TRIAL, LOADED, SHIFT, CLOSED }

/**
 * What the lease holder has decided for [order]: the target gets [share] of the requests. Steps of a later lease, which
 * has the higher [token], replace those of an earlier one, and within a lease a higher [sequence] is newer.
 */
public data class ReleaseStep(
    public val order: ReleaseOrder,
    public val token: Long,
    public val sequence: Long,
    public val stage: ReleaseStage,
    public val share: Double,
) {
    /** Whether this step replaces [other]. */
    public fun isNewerThan(other: ReleaseStep?): Boolean =
        other == null || compareValuesBy(this, other, { it.token }, { it.sequence }) > 0

    /** Whether traffic has moved at least as far as in [other]. */
    public fun reaches(other: ReleaseStep): Boolean =
        compareValuesBy(this, other, { it.stage }, { it.share }) >= 0
}
