package org.parsleymoor.relay.quarantine

import org.parsleymoor.relay.cache.EngineIncarnation

/** A crash of which a part is suspected: when it was, and the [parts] of the prompts there that have the part. */
internal class Suspicion(val atMillis: Long, val parts: Set<ContentKey>)

/**
 * The recent crashes of endpoints with the prompts that they had not answered, from all instances. A part that is
 * answered later is no longer suspected of the earlier crashes. Not thread-safe.
 */
internal class CrashLog {
    private val crashes = LinkedHashMap<EngineIncarnation, Crash>()
    private val answeredMillis = LinkedHashMap<ContentKey, Long>()

    /** Records [crash]; all prompts of one start of an endpoint belong to the same crash. */
    fun record(crash: EndpointCrash) {
        val known = crashes.getOrPut(crash.endpoint) { Crash(crash.atMillis) }
        if (known.prompts.size < MAX_PROMPTS) known.prompts += crash.prompt
        while (crashes.size > MAX_CRASHES) crashes -= crashes.keys.first()
    }

    /** Drops the crashes that are too old to tell anything. */
    fun expire(nowMillis: Long) {
        crashes.values.removeAll { nowMillis - it.atMillis >= LIFE_MILLIS }
    }

    /** Records that an answer with [part] went on at [atMillis] after it had begun. */
    fun recordAnswer(part: ContentKey, atMillis: Long) {
        val newest = maxOf(atMillis, answeredMillis.remove(part) ?: atMillis)
        answeredMillis[part] = newest
        while (answeredMillis.size > MAX_ANSWERED) answeredMillis -= answeredMillis.keys.first()
        crashes.values.removeAll { crash -> crash.prompts.all { prompt -> prompt.parts.all { isCleared(it, crash) } } }
    }

    /** When [part] was last answered while it was suspected, or null. */
    fun answeredMillis(part: ContentKey): Long? = answeredMillis[part]

    /** Whether [part] is suspected of any crash. */
    fun isSuspect(part: ContentKey): Boolean =
        crashes.values.any { crash -> !isCleared(part, crash) && crash.prompts.any { part in it.parts } }

    /**
     * Returns the crashes of which [part] is suspected. Crashes at the same time count once, unless a prompt with the
     * part was sent in between: prompts at endpoints that are lost together may have a harmless part in common, but the
     * next prompt with that part is answered.
     */
    fun suspicions(part: ContentKey, nowMillis: Long): List<Suspicion> {
        var previousMillis = Long.MIN_VALUE / 2
        return crashes.values.sortedBy { it.atMillis }.filterNot { isCleared(part, it) }.mapNotNull { crash ->
            val apart = crash.atMillis - previousMillis >= SAME_TIME_MILLIS
            val prompts = crash.suspects(nowMillis)
                .filter { part in it.parts && (apart || it.sentMillis > previousMillis) }
            if (prompts.isEmpty()) {
                null
            } else {
                previousMillis = crash.atMillis
                Suspicion(crash.atMillis, prompts.flatMap { it.parts }.toSet())
            }
        }
    }

    private fun isCleared(part: ContentKey, crash: Crash) = (answeredMillis[part] ?: Long.MIN_VALUE) >= crash.atMillis

    private class Crash(val atMillis: Long) {
        val prompts = LinkedHashSet<UnansweredRequest>()

        /**
         * The prompts to which a response had begun. If there are none, all prompts, once the peers have reported those
         * that they know of.
         */
        fun suspects(nowMillis: Long): List<UnansweredRequest> {
            val responding = prompts.filter { it.responding }
            val complete = nowMillis - atMillis >= REPORTED_MILLIS
            return if (responding.isEmpty() && complete) prompts.toList() else responding
        }
    }

    private companion object {
        const val LIFE_MILLIS = 600_000L
        const val MAX_CRASHES = 32
        const val MAX_PROMPTS = 64
        const val MAX_ANSWERED = 1_024

        // Several times the round trip between regions, by which instances see the same event at different times.
        const val SAME_TIME_MILLIS = 200L

        // Reports of peers pass two hubs at the most, and are sent every 100 ms.
        const val REPORTED_MILLIS = 400L
    }
}
