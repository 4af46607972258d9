package org.parsleymoor.relay.quarantine

/** When keys that were suspected of a crash were last answered; of very many, the latest. Not thread-safe. */
internal class AnswerTimes {
    private val answeredMillis = LinkedHashMap<ContentKey, Long>()

    /** Returns when [key] was last answered while it was suspected, or null. */
    operator fun get(key: ContentKey): Long? = answeredMillis[key]

    /** Records that [key] was answered at [atMillis]; returns when it was last answered. */
    fun record(key: ContentKey, atMillis: Long): Long {
        val newest = maxOf(atMillis, answeredMillis.remove(key) ?: atMillis)
        answeredMillis[key] = newest
        while (answeredMillis.size > MAX_KEYS) answeredMillis -= answeredMillis.keys.first()
        return newest
    }

    private companion object {
        const val MAX_KEYS = 1_024
    }
}
