package org.parsleymoor.relay.quarantine

import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.rendezvousOrder

/**
 * A prompt part or a whole request, [key], that is not sent to endpoints, because they crash when they answer it.
 * [companions] are the keys, including [key] itself, that the requests on which endpoints crashed had in common; a
 * request without one of them may be harmless. The last crash was at [lastCrashMillis]; [failedProbes] is how often a
 * probe has crashed an endpoint. If [ambiguous], other requests were unanswered at each of the crashes. The endpoint
 * that crashed last ran [release].
 */
public data class QuarantinedContent(
    public val key: ContentKey,
    public val companions: Set<ContentKey>,
    public val lastCrashMillis: Long,
    public val failedProbes: Int = 0,
    public val ambiguous: Boolean = false,
    public val release: String? = null,
) {
    /**
     * When a request may be sent as the next probe, or null if none is planned: after the probes that time brings,
     * there is one more once all endpoints run another release than that on which the last one failed, [present].
     */
    public fun probeMillis(present: String?): Long? {
        val pausesMillis = if (ambiguous) AMBIGUOUS_PAUSES_MILLIS else PAUSES_MILLIS
        val isMended = failedProbes == pausesMillis.size && release != null && present != null && present != release
        val pauseMillis = pausesMillis.getOrNull(failedProbes) ?: if (isMended) RELEASE_PAUSE_MILLIS else null
        return pauseMillis?.let { lastCrashMillis + it + if (ambiguous) key.hash.mod(it / SPREAD_SHARE) else 0 }
    }

    /** When the content is forgotten. */
    internal val expiryMillis: Long get() = lastCrashMillis + LIFE_MILLIS

    /** Whether a request with [keys] has everything that the crashes had in common. */
    internal fun matches(keys: Set<ContentKey>): Boolean = key in keys && keys.containsAll(companions)

    /** This entry after [crash] of an endpoint that had been sent a request like this. */
    internal fun afterCrash(crash: EndpointCrash): QuarantinedContent {
        val isProbe = crash.request.sentMillis >= (probeMillis(crash.release) ?: Long.MAX_VALUE)
        return copy(
            lastCrashMillis = maxOf(lastCrashMillis, crash.atMillis),
            failedProbes = if (isProbe) failedProbes + 1 else failedProbes,
            release = crash.release ?: release,
        )
    }

    /** Joins what two instances know about the same content. */
    internal fun merge(other: QuarantinedContent): QuarantinedContent = copy(
        companions = companions intersect other.companions,
        lastCrashMillis = maxOf(lastCrashMillis, other.lastCrashMillis),
        failedProbes = maxOf(failedProbes, other.failedProbes),
        ambiguous = ambiguous && other.ambiguous,
        release = if (other.lastCrashMillis > lastCrashMillis) other.release ?: release else release ?: other.release,
    )

    /** This entry after [answered] was answered elsewhere. */
    internal fun withoutCompanion(answered: ContentKey): QuarantinedContent =
        if (answered == key || answered !in companions) this else copy(companions = companions - answered)

    private companion object {
        // Each failed probe costs an endpoint and the responses that it was writing. The users' rules allow three, one
        // of which is left for another release.
        val PAUSES_MILLIS = listOf(30_000L, 120_000L)

        // May be a popular request that is harmless. It is probed as soon as endpoints may be back.
        val AMBIGUOUS_PAUSES_MILLIS = listOf(1_000L, 30_000L)

        // What was quarantined by the same crashes is probed apart, so that one does not fail the probe of another.
        const val SPREAD_SHARE = 2

        // A release that was listed a moment ago may not serve yet.
        const val RELEASE_PAUSE_MILLIS = 30_000L

        const val LIFE_MILLIS = 24 * 3_600_000L
    }
}

/**
 * The one of [members] that may probe this content at [nowMillis], while the endpoints run [release]. The members take
 * turns, because callers with it may reach only some of them.
 */
public fun QuarantinedContent.prober(
    members: Collection<InstanceId>,
    nowMillis: Long,
    release: String? = null,
): InstanceId? {
    val fromMillis = probeMillis(release)?.takeIf { nowMillis >= it }
    if (members.isEmpty() || fromMillis == null) return null
    val turn = (nowMillis - fromMillis) / PROBE_MILLIS
    return rendezvousOrder(key.hash.toString(), members) { it.value }[turn.mod(members.size)]
}

/** How long an instance has its turn to probe; the result of a probe is known after about this time. */
internal const val PROBE_MILLIS: Long = 5_000
