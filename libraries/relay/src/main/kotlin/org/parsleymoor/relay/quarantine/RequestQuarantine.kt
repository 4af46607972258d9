package org.parsleymoor.relay.quarantine

/**
 * Finds the prompt parts and the requests that crash endpoints, from the crashes that all instances report, and decides
 * which requests are not sent because of them. A part or a request is quarantined after [CRASHES_BEFORE_QUARANTINE]
 * crashes of different endpoints, or starts of one, without an answer in between, and released as soon as it is
 * answered: a part by an answer that goes on after it has begun, a request by a whole one. What is remembered is
 * bounded in size and age. Not thread-safe.
 */
public class RequestQuarantine {
    private val crashes = CrashLog()
    private val quarantined = QuarantineTable()
    private val probes = ProbeTurns()

    /** What is quarantined. */
    public val contents: List<QuarantinedContent> get() = quarantined.contents

    /** Whether anything is suspected of a crash or quarantined; otherwise all requests are allowed. */
    public val isActive: Boolean get() = crashes.keyCount > 0 || !quarantined.isEmpty

    /** Number of keys that crashes are known of. */
    internal val suspectCount: Int get() = crashes.keyCount

    /** Records a crash that this instance or a peer has seen. */
    public fun recordCrash(crash: EndpointCrash) {
        crashes.record(crash)
        quarantined.matching(crash.request.keys).forEach { quarantined.put(it.afterCrash(crash)) }
    }

    /**
     * Records that a request with [keys] was answered at [atMillis]. Returns those of the keys that were suspected
     * until then, which peers have to be told.
     */
    public fun recordAnswer(keys: Set<ContentKey>, atMillis: Long): Set<ContentKey> {
        val cleared = keys.filter { crashes.isSuspect(it) || quarantined.dependsOn(it) }.toSet()
        cleared.forEach { key ->
            crashes.recordAnswer(key, atMillis)
            quarantined.recordAnswer(key, atMillis)
        }
        return cleared
    }

    /**
     * Records that a peer has quarantined [entry]. Returns when its content was answered if that was after the last of
     * its crashes: the peer does not know of the answer, and the entry is ignored.
     */
    public fun recordQuarantine(entry: QuarantinedContent, nowMillis: Long): Long? {
        val answeredMillis = crashes.answers[entry.key]
        if (answeredMillis != null && answeredMillis >= entry.lastCrashMillis) return answeredMillis
        if (nowMillis < entry.expiryMillis) {
            quarantined.put(withoutAnswered(quarantined[entry.key]?.merge(entry) ?: entry, entry.lastCrashMillis))
        }
        return null
    }

    /** Quarantines those of [keys] that have to be, and returns them. */
    public fun assess(keys: Set<ContentKey>, nowMillis: Long): List<QuarantinedContent> =
        keys.filter { quarantined[it] == null && crashes.isSuspect(it) }.mapNotNull { key ->
            val suspicions = crashes.suspicions(key, nowMillis)
            val requests = suspicions.map { it.requests }.reduceOrNull { one, other -> one intersect other }.orEmpty()
            when {
                suspicions.size < CRASHES_BEFORE_QUARANTINE -> null
                key in requests -> {
                    val ambiguous = suspicions.none { it.alone }
                    quarantine(key, setOf(key), suspicions, ambiguous)
                }
                // The parts of a request that comes again may be harmless in others.
                requests.isNotEmpty() -> null
                else -> {
                    val common = suspicions.map { it.parts }.reduce { one, other -> one intersect other }
                    quarantine(key, common, suspicions, ambiguous = false)
                }
            }
        }

    private fun quarantine(
        key: ContentKey,
        common: Set<ContentKey>,
        suspicions: List<Suspicion>,
        ambiguous: Boolean,
    ): QuarantinedContent {
        val last = suspicions.last()
        val entry = QuarantinedContent(key, common, last.atMillis, ambiguous = ambiguous, release = last.release)
        return withoutAnswered(entry, suspicions.first().atMillis).also { quarantined.put(it) }
    }

    /**
     * Decides about a request with [keys] for endpoints that run [release], null if they differ in that. While a probe
     * is due, [mayProbe] says whether this instance has its turn to send one.
     */
    public fun decide(
        keys: Set<ContentKey>,
        nowMillis: Long,
        release: String? = null,
        mayProbe: (QuarantinedContent) -> Boolean,
    ): QuarantineDecision {
        val matching = quarantined.matching(keys).filter { nowMillis < it.expiryMillis }
        // One entry decides whose turn it is, or requests with several would have to wait for a turn in all of them.
        val first = matching.minByOrNull { it.key.hash }
        return when {
            first == null -> QuarantineDecision.Allowed
            matching.all { probes.isDue(it, nowMillis, release) } && mayProbe(first) -> {
                probes.begin(matching, nowMillis)
                QuarantineDecision.Probe(first.key)
            }
            else -> {
                val last = matching.maxBy { it.probeMillis(release) ?: Long.MAX_VALUE }
                val untilMillis = last.probeMillis(release) ?: (nowMillis + UNPROBED_MILLIS)
                QuarantineDecision.Refused(last.key, (untilMillis - nowMillis).coerceAtLeast(PROBE_MILLIS))
            }
        }
    }

    /** Records that a request with [keys] that was to be a probe was not sent. */
    public fun withdrawProbe(keys: Set<ContentKey>): Unit = probes.withdraw(keys)

    /** Drops old crashes, and what has been quarantined for long. */
    public fun expire(nowMillis: Long) {
        crashes.expire(nowMillis)
        quarantined.expire(nowMillis)
        probes.expire(nowMillis)
    }

    private fun withoutAnswered(entry: QuarantinedContent, sinceMillis: Long): QuarantinedContent =
        entry.companions.filter { (crashes.answers[it] ?: Long.MIN_VALUE) >= sinceMillis }
            .fold(entry) { rest, answered -> rest.withoutCompanion(answered) }

    private companion object {
        // Two crashes in a row may hit a rare part by chance.
        const val CRASHES_BEFORE_QUARANTINE = 3

        // No probe is planned. Callers that return learn whether something else has released the request.
        const val UNPROBED_MILLIS = 600_000L
    }
}
