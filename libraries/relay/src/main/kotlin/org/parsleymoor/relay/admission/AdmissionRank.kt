package org.parsleymoor.relay.admission

/**
 * Returns in which order requests are admitted, least first: by the [priority] in force, which is that of the
 * organisation if it has one, and among requests of the same priority by the [routePriority]. An organisation's
 * priority would otherwise make its urgent and its other requests alike.
 */
public fun admissionRank(priority: Int, routePriority: Int): Int =
    priority.coerceIn(-MAX_PRIORITY, MAX_PRIORITY) * ROUTE_RANKS + routePriority.coerceIn(0, ROUTE_RANKS - 1)

private const val MAX_PRIORITY = 100_000
private const val ROUTE_RANKS = 1_000
