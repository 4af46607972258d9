package org.parsleymoor.entry.serving

import org.parsleymoor.relay.fleet.EndpointState
import org.parsleymoor.relay.routing.RequestKind

/**
 * Returns how long [target] may be silent before a repeatable request moves to another endpoint, if there is one: an
 * engine to all requests of this instance, another endpoint to this one.
 */
internal fun PendingRequest.silenceTimeoutMillis(target: Target): Long = when {
    !route.repeatable -> Long.MAX_VALUE
    prompt != null -> maxOf(eventSilenceMillis, target.estimateMillis.toLong() * 2)
    route.kind == RequestKind.STREAM -> maxOf(eventSilenceMillis, plainSilenceMillis(target))
    else -> plainSilenceMillis(target)
}

private fun PendingRequest.plainSilenceMillis(target: Target): Long =
    maxOf(target.estimateMillis * SILENCE_FACTOR, route.objectiveMillis * SILENCE_OBJECTIVES).toLong()

/**
 * How long a stream may be silent before it is sent to another endpoint too. A sound endpoint may be silent for a
 * second or more, and one that stopped for that time does not notice that its connection was closed: it goes on with
 * the request beside its successor. The other half of the time for which callers wait is left for the successor.
 */
internal val PendingRequest.eventSilenceMillis: Long
    get() = (route.firstByteWaitMillis(caller.waitMillis) / 2).coerceIn(MIN_SILENCE_MILLIS, MAX_SILENCE_MILLIS)

/**
 * How long an engine and its successor may both work on this request, or null if there is no limit. A prompt may be run
 * by two engines for up to 400 ms; the rest is for the way to the engine.
 */
internal val PendingRequest.maxOverlapMillis: Long?
    get() = if (prompt != null || route.kind == RequestKind.STREAM) MAX_OVERLAP_MILLIS else null

/** Whether this endpoint has sent anything to this instance, or reported its load, since [sinceMillis]. */
internal fun EndpointState.showsLifeSince(sinceMillis: Long): Boolean =
    answeredMillis >= sinceMillis || (engineLoad?.atMillis ?: Long.MIN_VALUE) >= sinceMillis - REPORT_PERIOD_MILLIS

private const val MAX_OVERLAP_MILLIS = 300L

// Engines report their load at this interval.
private const val REPORT_PERIOD_MILLIS = 250L

// Interval at which a request whose endpoint is silent looks for another endpoint.
internal const val SILENCE_POLL_MILLIS = 100L

// An endpoint is taken to be silent after this many times the estimate and this many objectives, the longer of both.
private const val SILENCE_FACTOR = 4.0
private const val SILENCE_OBJECTIVES = 1.5

// Callers abandon a stream after a gap of two seconds at the earliest, and resuming it takes part of that time.
private const val MIN_SILENCE_MILLIS = 1_200L

// Longer than the silence of a sound endpoint.
private const val MAX_SILENCE_MILLIS = 2_000L
