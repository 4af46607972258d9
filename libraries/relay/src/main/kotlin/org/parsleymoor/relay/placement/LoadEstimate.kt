package org.parsleymoor.relay.placement

import org.parsleymoor.relay.fleet.EndpointState

/**
 * Returns the number of requests that run or wait at this endpoint. A report that is [HEADER_LIFE_MILLIS] old no longer
 * counts; between reports the instance's own work bounds the estimate from below.
 */
public fun EndpointState.estimatedRequests(nowMillis: Long): Double {
    val report = load ?: return inFlight.toDouble()
    val age = (nowMillis - report.atMillis).coerceAtLeast(0)
    val trust = 1.0 - age.toDouble() / HEADER_LIFE_MILLIS
    val reported = if (trust > 0) (report.running + report.waiting) * trust else 0.0
    return maxOf(inFlight.toDouble(), reported)
}

// Runs take up to a second, so a report says little about the load a second later.
private const val HEADER_LIFE_MILLIS = 1_500.0
