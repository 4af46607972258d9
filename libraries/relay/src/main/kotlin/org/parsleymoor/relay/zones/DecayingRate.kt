package org.parsleymoor.relay.zones

import kotlin.math.exp

/** A rate a second in which amounts lose weight exponentially, over [timeConstantMillis]. Not thread-safe. */
internal class DecayingRate(private val timeConstantMillis: Double) {
    private var sum = 0.0
    private var atMillis = Long.MIN_VALUE / 2

    fun add(amount: Double, nowMillis: Long) {
        sum = sum * decay(nowMillis) + amount
        atMillis = maxOf(atMillis, nowMillis)
    }

    fun perSecond(nowMillis: Long): Double = sum * decay(nowMillis) * MILLIS_PER_SECOND / timeConstantMillis

    private fun decay(nowMillis: Long): Double = exp(-(nowMillis - atMillis).coerceAtLeast(0) / timeConstantMillis)

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
