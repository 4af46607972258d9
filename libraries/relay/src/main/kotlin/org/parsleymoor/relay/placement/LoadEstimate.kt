package org.parsleymoor.relay.placement

import org.parsleymoor.relay.fleet.EndpointState

/**
 * Estimates the number of requests that run or wait at this endpoint. The weight of a reported load decreases to zero
 * over [REPORTED_LOAD_LIFE_MILLIS]; the estimate is never below the number of this instance's own requests.
 */
public fun EndpointState.estimatedRequests(nowMillis: Long): Double {
    val report = load ?: return inFlight.toDouble()
    val age = (nowMillis - report.atMillis).coerceAtLeast(0)
    val weight = 1.0 - age.toDouble() / REPORTED_LOAD_LIFE_MILLIS
    val reported = if (weight > 0) (report.running + report.waiting) * weight else 0.0
    return maxOf(inFlight.toDouble(), reported)
}

// Requests run for up to a second, so a report says little about the load a second later.
private const val REPORTED_LOAD_LIFE_MILLIS = 1_500.0
