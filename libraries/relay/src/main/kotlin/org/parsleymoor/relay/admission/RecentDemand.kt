package org.parsleymoor.relay.admission

/** What a kind of request needs of an engine: its first token within [objectiveMillis], for [promptTokens] tokens. */
public data class UrgentNeed(public val objectiveMillis: Long, public val promptTokens: Long)

/**
 * Remembers which kinds of requests the callers of this instance asked for lately, so that places are kept for those
 * that are more urgent than another and for no others. Not thread-safe.
 */
public class RecentDemand {
    private val kinds = HashMap<Kind, Asked>()

    private data class Kind(val service: String, val urgency: Int, val objectiveMillis: Long)

    private class Asked(var promptTokens: Double, var atMillis: Long)

    /** Counts a request for [service] that has [urgency], where 0 is the most urgent. */
    public fun record(service: String, urgency: Int, objectiveMillis: Long, promptTokens: Long, nowMillis: Long) {
        val asked = kinds.getOrPut(Kind(service, urgency, objectiveMillis)) {
            Asked(promptTokens.toDouble(), nowMillis)
        }
        asked.promptTokens += (promptTokens - asked.promptTokens) * NEWEST_SHARE
        asked.atMillis = nowMillis
    }

    /** Returns what the kinds of requests for [service] need that are more urgent than [urgency], one an objective. */
    public fun moreUrgent(service: String, urgency: Int, nowMillis: Long): List<UrgentNeed> {
        if (kinds.size > MAX_KINDS) kinds.values.removeAll { nowMillis - it.atMillis > RECENT_MILLIS }
        return kinds.filter { (kind, asked) ->
            kind.service == service && kind.urgency < urgency && nowMillis - asked.atMillis <= RECENT_MILLIS
        }.entries.groupBy({ it.key.objectiveMillis }, { it.value.promptTokens })
            .map { (objectiveMillis, tokens) -> UrgentNeed(objectiveMillis, tokens.max().toLong()) }
    }

    private companion object {
        const val NEWEST_SHARE = 0.05

        // At 300 instances, each of them gets a request of a kind that all together get 300 times a second in nearly
        // every period of this length.
        const val RECENT_MILLIS = 5_000L

        // Routes that change their objective leave kinds behind.
        const val MAX_KINDS = 64
    }
}
