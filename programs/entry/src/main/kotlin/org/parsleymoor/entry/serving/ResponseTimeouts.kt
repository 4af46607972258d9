package org.parsleymoor.entry.serving

/** Returns how long to wait for the first byte from [target] when [remainingMillis] are left. */
internal fun PendingRequest.responseTimeoutMillis(target: Target, remainingMillis: Long): Long {
    val mayMove = route.repeatable && possibleRuns + 1 < route.attempts
    if (!mayMove || prompt != null) return remainingMillis
    val expected = maxOf(target.estimateMillis * SILENCE_FACTOR, route.objectiveMillis * SILENCE_OBJECTIVES)
    return expected.toLong().coerceAtMost(remainingMillis)
}

/** Returns after which time an engine that has answered nobody counts as silent. */
internal fun PendingRequest.silenceTimeoutMillis(target: Target): Long = if (prompt == null || !route.repeatable) {
    Long.MAX_VALUE
} else {
    maxOf(ENGINE_SILENCE_MILLIS, target.estimateMillis.toLong() * 2)
}

// An endpoint that takes this many times the estimate, and this many objectives, is taken to be silent.
private const val SILENCE_FACTOR = 4.0
private const val SILENCE_OBJECTIVES = 1.5

// An engine under load answers some request of an instance more often than this.
private const val ENGINE_SILENCE_MILLIS = 1_500L
