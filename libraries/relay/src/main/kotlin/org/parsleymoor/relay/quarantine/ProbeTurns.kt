package org.parsleymoor.relay.quarantine

/** The probes that this instance has sent and whose result is not known yet. Not thread-safe. */
internal class ProbeTurns {
    private val sentMillis = HashMap<ContentKey, Long>()

    /** Whether [entry] may be probed now, while the endpoints run [release], apart from whose turn it is. */
    fun isDue(entry: QuarantinedContent, nowMillis: Long, release: String?): Boolean =
        nowMillis >= (entry.probeMillis(release) ?: Long.MAX_VALUE) &&
            nowMillis - (sentMillis[entry.key] ?: (Long.MIN_VALUE / 2)) >= PROBE_MILLIS

    /** Records that all of [entries] are probed with one request. */
    fun begin(entries: List<QuarantinedContent>, nowMillis: Long) {
        entries.forEach { sentMillis[it.key] = nowMillis }
    }

    /** Records that a request with [keys] that was to be a probe was not sent. */
    fun withdraw(keys: Set<ContentKey>) {
        sentMillis -= keys
    }

    /** Drops probes whose result is overdue. */
    fun expire(nowMillis: Long) {
        sentMillis.values.removeAll { nowMillis - it >= PROBE_MILLIS }
    }
}
