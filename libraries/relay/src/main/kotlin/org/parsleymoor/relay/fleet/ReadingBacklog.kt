package org.parsleymoor.relay.fleet

/**
 * Estimates how many prompt tokens an engine has still to read: it reads what it was sent at a steady rate, and its
 * reports say how many prompts it has not finished. Reports alone do not tell a long prompt from a short one, nor
 * whether it is half read. Not thread-safe.
 */
internal class ReadingBacklog(private val tokensPerMilli: Double = READ_TOKENS_PER_MILLI) {
    private var knownMillis = Long.MIN_VALUE
    private var knownTokens = 0.0

    /** Takes over how many prompts [load] says are unread; [sent] are those that the engine was sent, in any order. */
    fun learn(load: EngineLoad, sent: Collection<SentPrompt>) {
        val atMillis = load.atMillis - REPORT_LAG_MILLIS
        val unread = (load.prefilling + load.waiting).coerceAtLeast(0)
        val expected = if (unread == 0) 0.0 else tokens(sent, atMillis)
        knownTokens = if (unread == 0) 0.0 else expected.coerceIn(bounds(unread, sent, atMillis))
        knownMillis = atMillis
    }

    /** Returns the tokens that are unread at [nowMillis], when the engine was sent [sent]. */
    fun tokens(sent: Collection<SentPrompt>, nowMillis: Long): Double {
        var unread = knownTokens
        var atMillis = knownMillis
        for (prompt in sent) {
            if (prompt.atMillis <= knownMillis || prompt.atMillis > nowMillis) continue
            if (atMillis != Long.MIN_VALUE) unread = unreadAfter(unread, prompt.atMillis - atMillis)
            unread += prompt.prefillTokens
            atMillis = maxOf(atMillis, prompt.atMillis)
        }
        return if (atMillis == Long.MIN_VALUE) unread else unreadAfter(unread, nowMillis - atMillis)
    }

    /** Forgets everything, as the engine has started again. */
    fun reset() {
        knownMillis = Long.MIN_VALUE
        knownTokens = 0.0
    }

    private fun unreadAfter(tokens: Double, millis: Long): Double =
        (tokens - millis.coerceAtLeast(0) * tokensPerMilli).coerceAtLeast(0.0)

    /** What [unread] prompts may amount to at least and at most; one of them may be nearly read. */
    private fun bounds(unread: Int, sent: Collection<SentPrompt>, atMillis: Long): ClosedFloatingPointRange<Double> {
        val sizes = sent.filter { it.atMillis in atMillis - RECENT_MILLIS..atMillis }.map { it.prefillTokens }
        val most = if (sizes.size < unread) Double.MAX_VALUE else sizes.sorted().takeLast(unread).sum().toDouble()
        val unknown = (unread - 1 - sizes.size).coerceAtLeast(0) * UNKNOWN_PROMPT_TOKENS
        return minOf(sizes.takeLast(unread - 1).sum() + unknown, most)..most
    }

    private companion object {
        // What prompts amount to on average that nobody told this instance of.
        const val UNKNOWN_PROMPT_TOKENS = 3_000.0

        // Between 48 and 64 tokens a millisecond on the data sheets, of which decoding steps take a tenth to a fifth.
        const val READ_TOKENS_PER_MILLI = 45.0

        // What a report says is as old as this when the engine sends it.
        const val REPORT_LAG_MILLIS = 150L

        // Longer than prompts wait at an engine before their callers leave.
        const val RECENT_MILLIS = 4_000L
    }
}
