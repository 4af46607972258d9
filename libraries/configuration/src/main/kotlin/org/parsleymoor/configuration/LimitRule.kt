package org.parsleymoor.configuration

/** The valid [range] of a key of `[limits]`, and the accessor of its value. */
internal data class LimitRule(val key: String, val range: LongRange, val value: (LimitsDeclaration) -> Long) {
    val expected: String get() = "a whole number from ${range.first} to ${range.last}"

    companion object {
        private const val MAX_REQUESTS = 1_000_000L
        private const val DAY_MILLIS = 86_400_000L
        private const val MAX_BODY_BYTES = 67_108_864L
        private const val MAX_LINK_BYTES_PER_SECOND = 1_250_000_000L
        private const val YEAR_HOURS = 8_784L

        val All: List<LimitRule> = listOf(
            LimitRule("queueLength", 1..MAX_REQUESTS) { it.queueLength.toLong() },
            LimitRule("queueLengthPerOrganisation", 1..MAX_REQUESTS) { it.queueLengthPerOrganisation.toLong() },
            LimitRule("concurrentPerEngine", 1..MAX_REQUESTS) { it.concurrentPerEngine.toLong() },
            LimitRule("requestDeadlineMillis", 1..DAY_MILLIS) { it.requestDeadlineMillis },
            LimitRule("maximumBodyBytes", 1..MAX_BODY_BYTES) { it.maximumBodyBytes.toLong() },
            LimitRule("coldLimit", 1..MAX_REQUESTS) { it.coldLimit.toLong() },
            LimitRule("coldAnswers", 0..MAX_REQUESTS) { it.coldAnswers.toLong() },
            LimitRule("coldMillis", 0..DAY_MILLIS) { it.coldMillis },
            LimitRule("regionLinkBytesPerSecond", 1..MAX_LINK_BYTES_PER_SECOND) { it.regionLinkBytesPerSecond },
            LimitRule("claimRetentionHours", 1..YEAR_HOURS) { it.claimRetentionHours.toLong() },
        )
    }
}
