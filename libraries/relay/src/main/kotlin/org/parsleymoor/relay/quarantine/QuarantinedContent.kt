package org.parsleymoor.relay.quarantine

import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.rendezvousOrder

/**
 * A prompt part that is not sent to endpoints, because they crash when they answer it. [companions] are the parts,
 * including [part] itself, that the prompts on which endpoints crashed had in common; a prompt without one of them may
 * be harmless. The last crash was at [lastCrashMillis]; [failedProbes] is how often a probe has crashed an endpoint.
 */
public data class QuarantinedContent(
    public val part: ContentKey,
    public val companions: Set<ContentKey>,
    public val lastCrashMillis: Long,
    public val failedProbes: Int = 0,
) {
    /** When the part may be probed next. Each failed probe makes the pause longer. */
    public val probeMillis: Long get() = lastCrashMillis + pauseMillis

    /** When the part is forgotten, because no prompt with it has arrived to probe it. */
    internal val expiryMillis: Long get() = lastCrashMillis + pauseMillis * PAUSES_UNTIL_EXPIRY

    private val pauseMillis: Long
        get() = FIRST_PAUSE_MILLIS shl (minOf(failedProbes, MAX_LENGTHENINGS) * DOUBLINGS_PER_PROBE)

    /** Whether a prompt with [parts] has everything that the crashes had in common. */
    internal fun matches(parts: Set<ContentKey>): Boolean = part in parts && parts.containsAll(companions)

    /** Joins what two instances know about the same part. */
    internal fun merge(other: QuarantinedContent): QuarantinedContent = copy(
        companions = companions intersect other.companions,
        lastCrashMillis = maxOf(lastCrashMillis, other.lastCrashMillis),
        failedProbes = maxOf(failedProbes, other.failedProbes),
    )

    /** This entry after [answered] was answered elsewhere. */
    internal fun withoutCompanion(answered: ContentKey): QuarantinedContent =
        if (answered == part || answered !in companions) this else copy(companions = companions - answered)

    private companion object {
        // A failed probe costs an endpoint and the responses that it was writing.
        const val FIRST_PAUSE_MILLIS = 30_000L
        const val DOUBLINGS_PER_PROBE = 2

        // The longest pause is about half an hour.
        const val MAX_LENGTHENINGS = 3
        const val PAUSES_UNTIL_EXPIRY = 8
    }
}

/**
 * The one of [members] that may probe this part at [nowMillis]. The members take turns, because callers with the part
 * may reach only some of them.
 */
public fun QuarantinedContent.prober(members: Collection<InstanceId>, nowMillis: Long): InstanceId? {
    if (members.isEmpty() || nowMillis < probeMillis) return null
    val turn = (nowMillis - probeMillis) / PROBE_MILLIS
    return rendezvousOrder(part.hash.toString(), members) { it.value }[turn.mod(members.size)]
}

/** How long an instance has its turn to probe a part; the result of a probe is known after about this time. */
internal const val PROBE_MILLIS: Long = 5_000
