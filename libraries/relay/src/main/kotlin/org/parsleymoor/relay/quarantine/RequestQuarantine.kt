package org.parsleymoor.relay.quarantine

/**
 * Finds the prompt parts that crash endpoints, from the crashes that all instances report, and decides which prompts
 * are not sent because of them. A part is quarantined after [CRASHES_BEFORE_QUARANTINE] crashes of different endpoints,
 * or starts of one, without an answer in between, and released as soon as an answer with it goes on after it has begun.
 * What is remembered is bounded in size and age. Not thread-safe.
 */
public class RequestQuarantine {
    private val crashes = CrashLog()
    private val quarantined = LinkedHashMap<ContentKey, QuarantinedContent>()
    private val probes = HashMap<ContentKey, Long>()
    private var suspects: Set<ContentKey> = emptySet()

    /** The parts that are quarantined. */
    public val parts: List<QuarantinedContent> get() = quarantined.values.toList()

    /** Number of parts that are suspected of crashes or quarantined. */
    internal val suspectCount: Int get() = suspects.size

    /** Records a crash that this instance or a peer has seen. */
    public fun recordCrash(crash: EndpointCrash) {
        crashes.record(crash)
        crash.prompt.parts.mapNotNull { quarantined[it] }.filter { it.matches(crash.prompt.parts) }.forEach { entry ->
            val failedProbe = if (crash.prompt.sentMillis >= entry.probeMillis) 1 else 0
            put(
                entry.copy(
                    lastCrashMillis = maxOf(entry.lastCrashMillis, crash.atMillis),
                    failedProbes = entry.failedProbes + failedProbe,
                ),
            )
        }
        updateSuspects(suspects + crash.prompt.parts)
    }

    /**
     * Records that an answer with [parts] went on at [atMillis] after it had begun. Returns those of the parts that
     * were suspected until then, which peers have to be told.
     */
    public fun recordAnswer(parts: Set<ContentKey>, atMillis: Long): Set<ContentKey> {
        val cleared = if (suspects.isEmpty()) emptySet() else parts intersect suspects
        cleared.forEach { part ->
            crashes.recordAnswer(part, atMillis)
            if ((quarantined[part]?.lastCrashMillis ?: Long.MAX_VALUE) <= atMillis) quarantined -= part
            quarantined.replaceAll { _, entry -> entry.withoutCompanion(part) }
        }
        if (cleared.isNotEmpty()) updateSuspects(suspects)
        return cleared
    }

    /**
     * Records that a peer has quarantined [entry]. Returns when the part was answered if that was after the last of its
     * crashes: the peer does not know of the answer, and the entry is ignored.
     */
    public fun recordQuarantine(entry: QuarantinedContent, nowMillis: Long): Long? {
        val answeredMillis = crashes.answeredMillis(entry.part)
        if (answeredMillis != null && answeredMillis >= entry.lastCrashMillis) return answeredMillis
        if (nowMillis < entry.expiryMillis) {
            put(withoutAnswered(quarantined[entry.part]?.merge(entry) ?: entry, entry.lastCrashMillis))
            updateSuspects(suspects + entry.companions)
        }
        return null
    }

    /** Quarantines those of [parts] that have to be, and returns them. */
    public fun assess(parts: Set<ContentKey>, nowMillis: Long): List<QuarantinedContent> {
        val candidates = if (suspects.isEmpty()) emptySet() else parts intersect suspects
        return candidates.filter { it !in quarantined }.mapNotNull { part ->
            val suspicions = crashes.suspicions(part, nowMillis)
            if (suspicions.size < CRASHES_BEFORE_QUARANTINE) {
                null
            } else {
                val common = suspicions.map { it.parts }.reduce { one, other -> one intersect other }
                val entry = QuarantinedContent(part, common, suspicions.last().atMillis)
                withoutAnswered(entry, suspicions.first().atMillis).also { put(it) }
            }
        }
    }

    /**
     * Decides about a prompt with [parts]. While probes of a part are due, [mayProbe] says whether this instance has
     * its turn to send one.
     */
    public fun decide(
        parts: Set<ContentKey>,
        nowMillis: Long,
        mayProbe: (QuarantinedContent) -> Boolean,
    ): QuarantineDecision {
        val matching =
            parts.mapNotNull { quarantined[it] }.filter { nowMillis < it.expiryMillis && it.matches(parts) }
        val blocking = matching.filterNot { isProbeDue(it, nowMillis) && mayProbe(it) }.maxByOrNull { it.probeMillis }
        return when {
            matching.isEmpty() -> QuarantineDecision.Allowed
            blocking == null -> {
                matching.forEach { probes[it.part] = nowMillis }
                QuarantineDecision.Probe(matching.first().part)
            }
            else -> {
                val retryAfterMillis = (blocking.probeMillis - nowMillis).coerceAtLeast(PROBE_MILLIS)
                QuarantineDecision.Refused(blocking.part, retryAfterMillis)
            }
        }
    }

    /** Drops old crashes, and the parts that are quarantined and have not been probed for long. */
    public fun expire(nowMillis: Long) {
        if (suspects.isEmpty()) return
        crashes.expire(nowMillis)
        quarantined.values.removeAll { nowMillis >= it.expiryMillis }
        probes.values.removeAll { nowMillis - it >= PROBE_MILLIS }
        updateSuspects(suspects)
    }

    private fun isProbeDue(entry: QuarantinedContent, nowMillis: Long): Boolean =
        nowMillis >= entry.probeMillis && nowMillis - (probes[entry.part] ?: Long.MIN_VALUE / 2) >= PROBE_MILLIS

    private fun withoutAnswered(entry: QuarantinedContent, sinceMillis: Long): QuarantinedContent =
        entry.companions.filter { (crashes.answeredMillis(it) ?: Long.MIN_VALUE) >= sinceMillis }
            .fold(entry) { rest, answered -> rest.withoutCompanion(answered) }

    private fun put(entry: QuarantinedContent) {
        quarantined -= entry.part
        quarantined[entry.part] = entry
        while (quarantined.size > MAX_QUARANTINED) quarantined -= quarantined.keys.first()
    }

    private fun updateSuspects(candidates: Set<ContentKey>) {
        val companions = quarantined.values.flatMap { it.companions }.toSet()
        suspects = candidates.filter { it in companions || crashes.isSuspect(it) }.toSet()
    }

    private companion object {
        // Two crashes in a row may hit a rare part by chance.
        const val CRASHES_BEFORE_QUARANTINE = 3
        const val MAX_QUARANTINED = 256
    }
}
