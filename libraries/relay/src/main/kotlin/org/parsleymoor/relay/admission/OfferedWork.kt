package org.parsleymoor.relay.admission

import kotlin.math.exp

/** Work that callers offer, in milliseconds of engine time: [alike] of the same rank and [ahead] that goes first. */
internal data class Offered(val alike: Double, val ahead: Double) {
    /** Returns the same for [count] times as many callers. */
    operator fun times(count: Int): Offered = Offered(alike * count, ahead * count)

    /** Returns which share of the [alike] work can be admitted if engines have room for [roomMillis]. */
    fun admittedShare(roomMillis: Double): Double =
        if (alike <= 0) 1.0 else ((roomMillis - ahead) / alike).coerceIn(0.0, 1.0)
}

/** Measures how much work callers of this instance offer for each service in [periodMillis]. Not thread-safe. */
internal class OfferedWork(private val periodMillis: Long) {
    private val services = HashMap<String, HashMap<Long, Rate>>()

    private class Rate(var workMillis: Double, var atMillis: Long) {
        fun advance(nowMillis: Long) {
            workMillis *= exp(-(nowMillis - atMillis).coerceAtLeast(0) / AVERAGED_MILLIS)
            atMillis = nowMillis
        }
    }

    /** Adds [workMillis] of [rank], where the least goes first, and returns what [service] was offered lately. */
    fun record(service: String, rank: Long, workMillis: Double, nowMillis: Long): Offered {
        val rates = services.getOrPut(service) { HashMap() }
        rates.getOrPut(rank) { Rate(0.0, nowMillis) }
        rates.values.forEach { it.advance(nowMillis) }
        rates.getValue(rank).workMillis += workMillis
        return Offered(
            alike = rates.getValue(rank).workMillis * periodMillis / AVERAGED_MILLIS,
            ahead = rates.filterKeys { it < rank }.values.sumOf { it.workMillis } * periodMillis / AVERAGED_MILLIS,
        )
    }

    private companion object {
        // At 300 instances, each gets a request or two a second.
        const val AVERAGED_MILLIS = 2_000.0
    }
}
