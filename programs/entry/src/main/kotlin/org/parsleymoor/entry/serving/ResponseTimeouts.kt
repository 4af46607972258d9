package org.parsleymoor.entry.serving

/**
 * Returns how long [target] may be silent before a repeatable request moves to another endpoint, if there is one: an
 * engine to all requests of this instance, another endpoint to this one.
 */
internal fun PendingRequest.silenceTimeoutMillis(target: Target): Long = when {
    !route.repeatable -> Long.MAX_VALUE
    prompt != null -> maxOf(ENGINE_SILENCE_MILLIS, target.estimateMillis.toLong() * 2)
    else -> maxOf(target.estimateMillis * SILENCE_FACTOR, route.objectiveMillis * SILENCE_OBJECTIVES).toLong()
}

// Interval at which a request whose endpoint is silent looks for another endpoint.
internal const val SILENCE_POLL_MILLIS = 100L

// An endpoint is taken to be silent after this many times the estimate and this many objectives, the longer of both.
private const val SILENCE_FACTOR = 4.0
private const val SILENCE_OBJECTIVES = 1.5

// An engine under load responds to some request of an instance at shorter intervals than this.
private const val ENGINE_SILENCE_MILLIS = 1_500L
