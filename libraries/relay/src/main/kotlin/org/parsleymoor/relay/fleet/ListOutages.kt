package org.parsleymoor.relay.fleet

/**
 * Tells outages of the discovery list, in which entries expire because endpoints cannot renew them, from single calls
 * for it that failed. Entries that are missing after an outage are kept for another [graceMillis], because their
 * endpoints need that long to register again. Not thread-safe.
 *
 * @param heartbeatMillis interval at which endpoints renew their entries
 */
public class ListOutages(heartbeatMillis: Long = 1_200, private val graceMillis: Long = 2_000) {
    // An entry expires after three intervals without renewal, and was renewed at most one interval before the outage.
    private val shortestMillis = heartbeatMillis * 2
    private var confirmedMillis: Long? = null
    private var callFailed = false
    private var graceUntilMillis = Long.MIN_VALUE

    /** Records that a call for the list failed, here or at a peer. */
    public fun recordFailedCall() {
        callFailed = true
    }

    /**
     * Records that the list was confirmed to be current at [atMillis]. Returns the time since the last confirmation, in
     * milliseconds, if that was an outage long enough for entries to expire, and null otherwise.
     */
    public fun recordConfirmation(atMillis: Long): Long? {
        val outageMillis = outageMillis(atMillis)
        if (outageMillis != null) keepMissing(atMillis)
        confirmedMillis = maxOf(atMillis, confirmedMillis ?: atMillis)
        callFailed = false
        return outageMillis
    }

    /** Keeps missing entries for the grace period from [nowMillis] on. */
    public fun keepMissing(nowMillis: Long) {
        graceUntilMillis = nowMillis + graceMillis
    }

    /** Whether an entry that is missing at [nowMillis] may have expired in an outage. */
    public fun mayHaveExpired(nowMillis: Long): Boolean =
        nowMillis < graceUntilMillis || outageMillis(nowMillis) != null

    private fun outageMillis(nowMillis: Long): Long? =
        confirmedMillis?.takeIf { callFailed }?.let { nowMillis - it }?.takeIf { it >= shortestMillis }
}
