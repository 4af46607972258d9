package org.parsleymoor.relay.speed

import kotlin.math.abs
import kotlin.math.ln

/** The lasting speed of an endpoint has become unusual, or usual again; work takes [factor] times as long as usual. */
public data class SpeedChange(public val isUnusual: Boolean, public val factor: Double)

/** Returns whether the lasting speed has left the usual range since the last call, or returned; otherwise null. */
public fun EndpointSpeed.change(nowMillis: Long): SpeedChange? {
    val factor = lastingFactor(nowMillis)
    val wasUnusual = isUnusual
    isUnusual = abs(ln(factor)) > ln(if (wasUnusual) RETURNED_FACTOR else LEFT_FACTOR)
    return if (isUnusual == wasUnusual) null else SpeedChange(isUnusual, factor)
}

// Two bounds, so that an endpoint near one of them is not logged again and again.
private const val LEFT_FACTOR = 1.4
private const val RETURNED_FACTOR = 1.2
