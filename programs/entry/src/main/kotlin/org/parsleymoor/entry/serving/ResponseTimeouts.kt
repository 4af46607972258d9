package org.parsleymoor.entry.serving

/**
 * Returns how long to wait for the response head of [target] with [remainingMillis] left: shorter only if another
 * endpoint can be tried after it and [target] is no engine.
 */
internal fun PendingRequest.responseTimeoutMillis(target: Target, remainingMillis: Long): Long {
    val canRetry = route.repeatable && possibleRuns + 1 < route.attempts
    if (!canRetry || prompt != null) return remainingMillis
    val expected = maxOf(target.estimateMillis * SILENCE_FACTOR, route.objectiveMillis * SILENCE_OBJECTIVES)
    return expected.toLong().coerceAtMost(remainingMillis)
}

/** Returns how long an engine may send nothing to this instance before a repeatable request moves to another. */
internal fun PendingRequest.silenceTimeoutMillis(target: Target): Long = if (prompt == null || !route.repeatable) {
    Long.MAX_VALUE
} else {
    maxOf(ENGINE_SILENCE_MILLIS, target.estimateMillis.toLong() * 2)
}

// An endpoint is taken to be silent after this many times the estimate and this many objectives, the longer of both.
private const val SILENCE_FACTOR = 4.0
private const val SILENCE_OBJECTIVES = 1.5

// An engine under load responds to some request of an instance at shorter intervals than this.
private const val ENGINE_SILENCE_MILLIS = 1_500L
