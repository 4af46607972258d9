package org.parsleymoor.relay.quarantine

import org.parsleymoor.relay.cache.EngineIncarnation

/**
 * A crash of which a key is suspected, with the [parts] and the [requests] of the unanswered requests that have the
 * key. If it is [alone], all other requests there have been cleared. The endpoint ran [release].
 */
internal class Suspicion(
    val atMillis: Long,
    val parts: Set<ContentKey>,
    val requests: Set<ContentKey>,
    val alone: Boolean,
    val release: String?,
)

/**
 * The recent crashes of endpoints with the requests that they had not answered, from all instances. What is answered
 * later is no longer suspected of the earlier crashes. Not thread-safe.
 */
internal class CrashLog {
    private val crashes = LinkedHashMap<EngineIncarnation, Crash>()
    private val byKey = HashMap<ContentKey, LinkedHashMap<Crash, MutableSet<UnansweredRequest>>>()
    private var requestCount = 0

    /** When suspected keys were last answered. */
    val answers = AnswerTimes()

    /** Number of keys that crashes are known of. */
    val keyCount: Int get() = byKey.size

    /** Records [crash]; all requests at one start of an endpoint belong to the same crash. */
    fun record(crash: EndpointCrash) {
        val known = crashes.getOrPut(crash.endpoint) { Crash(crash.atMillis, crash.release) }
        if (!known.add(crash.request)) return
        requestCount++
        crash.request.keys.forEach { key ->
            byKey.getOrPut(key) { LinkedHashMap() }.getOrPut(known) { HashSet() } += crash.request.unsent
        }
        while (crashes.size > MAX_CRASHES || requestCount > MAX_REQUESTS) drop(crashes.entries.first().toPair())
    }

    /** Drops the crashes that are too old to tell anything. */
    fun expire(nowMillis: Long) {
        crashes.toList().filter { (_, crash) -> nowMillis - crash.atMillis >= LIFE_MILLIS }.forEach(::drop)
    }

    /** Records that [key] was answered at [atMillis]. */
    fun recordAnswer(key: ContentKey, atMillis: Long) {
        val newest = answers.record(key, atMillis)
        byKey[key]?.keys?.filter { it.atMillis <= newest }?.forEach { dropCleared(key, it) }
    }

    /** Whether [key] is suspected of any crash. */
    fun isSuspect(key: ContentKey): Boolean = byKey[key]?.keys?.any { !isCleared(key, it) } == true

    /**
     * Returns the crashes of which [key] is suspected. Crashes at the same time count once, unless a request with the
     * key was sent in between: requests at endpoints that are lost together may have something harmless in common, but
     * the next request with it is answered.
     */
    fun suspicions(key: ContentKey, nowMillis: Long): List<Suspicion> {
        var previousMillis = Long.MIN_VALUE / 2
        val uncleared = byKey[key].orEmpty().filterKeys { !isCleared(key, it) }
        return uncleared.entries.sortedBy { it.key.atMillis }.mapNotNull { (crash, unanswered) ->
            val apart = crash.atMillis - previousMillis >= SAME_TIME_MILLIS
            val suspects = unanswered.filter { crash.isSuspect(it, key, nowMillis) }
                .filter { apart || crash.sentMillis(it) > previousMillis }
            if (suspects.isEmpty()) {
                null
            } else {
                previousMillis = crash.atMillis
                Suspicion(
                    atMillis = crash.atMillis,
                    parts = suspects.flatMap { it.parts }.toSet(),
                    requests = suspects.mapNotNull { it.request }.toSet(),
                    alone = crash.isReported(nowMillis) &&
                        crash.requests.all { key in it.keys || isCleared(it, crash) },
                    release = crash.release,
                )
            }
        }
    }

    private fun isCleared(key: ContentKey, crash: Crash) = (answers[key] ?: Long.MIN_VALUE) >= crash.atMillis

    private fun isCleared(request: UnansweredRequest, crash: Crash) = request.keys.all { isCleared(it, crash) }

    /** Drops the requests with [key] that nothing is suspected of any more, which makes room for others. */
    private fun dropCleared(key: ContentKey, crash: Crash) {
        byKey[key]?.get(crash).orEmpty().filter { isCleared(it, crash) }.forEach { cleared ->
            crash.remove(cleared)
            forget(cleared, crash)
        }
        if (crash.requests.isEmpty()) crashes.values -= crash
    }

    private fun drop(entry: Pair<EngineIncarnation, Crash>) {
        val (endpoint, crash) = entry
        crashes -= endpoint
        crash.requests.forEach { forget(it, crash) }
    }

    private fun forget(request: UnansweredRequest, crash: Crash) {
        requestCount--
        request.keys.forEach { key ->
            val ofKey = byKey[key].orEmpty()
            ofKey[crash]?.let { if (it.remove(request) && it.isEmpty()) byKey.getValue(key) -= crash }
            if (byKey[key]?.isEmpty() == true) byKey -= key
        }
    }

    /** The requests of a crash. The same request, sent more than once, counts once, with the last time it was sent. */
    private class Crash(val atMillis: Long, val release: String?) {
        private val sentMillis = LinkedHashMap<UnansweredRequest, Long>()
        private var responding = 0
        val requests: Set<UnansweredRequest> get() = sentMillis.keys

        /** Returns whether [request] was not known of this crash, and there is room for it. */
        fun add(request: UnansweredRequest): Boolean {
            val known = sentMillis[request.unsent]
            if (known == null && sentMillis.size >= MAX_REQUESTS_OF_CRASH) return false
            sentMillis[request.unsent] = maxOf(known ?: request.sentMillis, request.sentMillis)
            if (known == null && request.responding) responding++
            return known == null
        }

        fun remove(request: UnansweredRequest) {
            if (sentMillis.remove(request) != null && request.responding) responding--
        }

        fun sentMillis(request: UnansweredRequest): Long = sentMillis.getValue(request)

        /** Whether the peers have reported the requests that they know of. */
        fun isReported(nowMillis: Long): Boolean = nowMillis - atMillis >= REPORTED_MILLIS

        /**
         * Whether [key] of [request] may be what this endpoint crashed on. Parts are suspected only of prompts to which
         * a response had begun, or, if there are none, of all once the peers have reported theirs.
         */
        fun isSuspect(request: UnansweredRequest, key: ContentKey, nowMillis: Long): Boolean = when {
            key == request.request -> true
            responding > 0 -> request.responding
            else -> isReported(nowMillis)
        }
    }

    private companion object {
        const val LIFE_MILLIS = 600_000L
        const val MAX_CRASHES = 64
        const val MAX_REQUESTS_OF_CRASH = 2_048
        const val MAX_REQUESTS = 8_192

        // Several times the round trip between regions, by which instances see the same event at different times.
        const val SAME_TIME_MILLIS = 200L

        // Reports of peers pass two hubs at the most, and are sent every 100 ms.
        const val REPORTED_MILLIS = 400L
    }
}

/** This request without the time at which it was sent. */
private val UnansweredRequest.unsent: UnansweredRequest get() = copy(sentMillis = 0)
