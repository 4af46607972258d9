package org.parsleymoor.gateway.control

import org.parsleymoor.configuration.Configuration

/**
 * Tracks which weight versions may still have running requests. A request keeps the version that was current when it
 * was received, until its deadline, and a gateway may learn of a change up to [propagationMillis] late. Which versions
 * were current before this process had a configuration is unknown, so every version counts as current at that moment.
 * Not thread-safe.
 */
internal class RetiredVersions(private val propagationMillis: Long = MAXIMUM_PROPAGATION_MILLIS) {
    private val lastCurrentMillis = HashMap<ModelVersion, Long>()
    private var firstObservedMillis: Long? = null
    private var longestDeadlineMillis = 0L

    /** Records that [configuration] is in effect at [nowMillis]; must be called often. */
    fun observe(configuration: Configuration, nowMillis: Long) {
        if (firstObservedMillis == null) firstObservedMillis = nowMillis
        longestDeadlineMillis = maxOf(longestDeadlineMillis, configuration.limits.requestDeadlineMillis)
        configuration.models.forEach { lastCurrentMillis[ModelVersion(it.name, it.version)] = nowMillis }
    }

    /** Whether requests with [version] may still be running at [nowMillis]. */
    fun isRetained(version: ModelVersion, nowMillis: Long): Boolean {
        val sinceMillis = lastCurrentMillis[version] ?: firstObservedMillis ?: nowMillis
        return nowMillis - sinceMillis < longestDeadlineMillis + propagationMillis
    }

    private companion object {
        // At the planned scale, a change takes effect on every gateway within this time.
        const val MAXIMUM_PROPAGATION_MILLIS = 14_000L
    }
}
