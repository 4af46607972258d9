package org.parsleymoor.gateway.control

import org.parsleymoor.configuration.Configuration

/**
 * Which weight versions may still have runs. A run keeps the version that was current when its request was received,
 * until its deadline; a gateway may learn of a change [spreadMillis] late. What was current before this process had a
 * configuration is not known, so that every version counts as current at that moment. Not safe for use from several
 * threads.
 */
internal class RetiredVersions(private val spreadMillis: Long = LONGEST_SPREAD_MILLIS) {
    private val lastCurrentMillis = HashMap<ModelVersion, Long>()
    private var firstMillis: Long? = null
    private var deadlineMillis = 0L

    /** Takes in that [configuration] is in effect at [nowMillis]; to be told often. */
    fun observe(configuration: Configuration, nowMillis: Long) {
        if (firstMillis == null) firstMillis = nowMillis
        deadlineMillis = maxOf(deadlineMillis, configuration.limits.requestDeadlineMillis)
        configuration.models.forEach { lastCurrentMillis[ModelVersion(it.name, it.version)] = nowMillis }
    }

    /** Whether runs of [version] may go on at [nowMillis]. */
    fun isRetained(version: ModelVersion, nowMillis: Long): Boolean {
        val sinceMillis = lastCurrentMillis[version] ?: firstMillis ?: nowMillis
        return nowMillis - sinceMillis < deadlineMillis + spreadMillis
    }

    private companion object {
        // A change is in effect everywhere within this time at the planned scale.
        const val LONGEST_SPREAD_MILLIS = 14_000L
    }
}
