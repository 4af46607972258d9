package org.parsleymoor.relay.quarantine

/** What is quarantined; of very much, what was last reported. Not thread-safe. */
internal class QuarantineTable {
    private val entries = LinkedHashMap<ContentKey, QuarantinedContent>()

    /** All entries. */
    val contents: List<QuarantinedContent> get() = entries.values.toList()

    val isEmpty: Boolean get() = entries.isEmpty()

    /** Returns the entry of [key], or null if it is not quarantined. */
    operator fun get(key: ContentKey): QuarantinedContent? = entries[key]

    /** Adds [entry], or replaces the one of its key. */
    fun put(entry: QuarantinedContent) {
        entries -= entry.key
        entries[entry.key] = entry
        while (entries.size > MAX_ENTRIES) entries -= entries.keys.first()
    }

    /** Returns the entries that keep a request with [keys] from endpoints. */
    fun matching(keys: Set<ContentKey>): List<QuarantinedContent> =
        keys.mapNotNull { entries[it] }.filter { it.matches(keys) }

    /** Whether an answer with [key] would change an entry. */
    fun dependsOn(key: ContentKey): Boolean = entries.values.any { key in it.companions }

    /** Releases [key], which was answered at [atMillis], unless an endpoint has crashed on it since. */
    fun recordAnswer(key: ContentKey, atMillis: Long) {
        if ((entries[key]?.lastCrashMillis ?: Long.MAX_VALUE) <= atMillis) entries -= key
        entries.replaceAll { _, entry -> entry.withoutCompanion(key) }
    }

    /** Drops what has been quarantined for long. */
    fun expire(nowMillis: Long) {
        entries.values.removeAll { nowMillis >= it.expiryMillis }
    }

    private companion object {
        const val MAX_ENTRIES = 256
    }
}
