package org.parsleymoor.standins

import kotlinx.serialization.Serializable
import org.parsleymoor.clients.EngineOrder

/**
 * One order that reached an engine, in the order of arrival. Times are milliseconds since the epoch. An order that
 * started a load has [loads]; its weights were complete at [loadedAtMillis], 0 while they are not. A [stale] order was
 * refused.
 */
@Serializable
public data class OrderRun(
    public val number: Long,
    public val order: EngineOrder,
    public val arrivedAtMillis: Long,
    public val stale: Boolean = false,
    public val loads: Boolean = false,
    public val loadedAtMillis: Long = 0,
)
