package org.parsleymoor.relay.placement

import org.parsleymoor.relay.admission.Offered
import kotlin.math.exp
import kotlin.random.Random

/**
 * Selects engines at random, weighted by cost. Instances learn of each other's requests with a delay; if each took the
 * cheapest engine, a burst would converge on one. An engine that costs [softmaxTemperatureMillis] more than another is
 * selected e times less often.
 */
internal class EngineSampler(private val softmaxTemperatureMillis: Double, private val random: Random) {
    /**
     * Returns the [candidates] that [mayHoldContext], plus a fixed number of others picked at random among those that
     * [comesFirst], and a few of the rest. Including all others would make a prompt less likely to reach its cached
     * context as the number of engines grows.
     */
    fun <T> sample(
        candidates: List<T>,
        comesFirst: (T) -> Boolean = { true },
        mayHoldContext: (T) -> Boolean,
    ): List<T> {
        val (holders, others) = candidates.partition(mayHoldContext)
        val (first, rest) = others.partition(comesFirst)
        return when {
            first.isEmpty() || rest.isEmpty() ->
                if (others.size <= SAMPLED_ENGINES) candidates else holders + some(others, SAMPLED_ENGINES)
            else -> holders + some(first, SAMPLED_ENGINES) + some(rest, SAMPLED_REST)
        }
    }

    private fun <T> some(options: List<T>, count: Int): List<T> = options.shuffled(random).take(count)

    /** Selects one of [options] with a probability that decreases with its [cost]. */
    fun <T> select(options: List<T>, cost: (T) -> Double): T {
        val costs = options.map(cost)
        val least = costs.min()
        val weights = costs.map { exp((least - it) / softmaxTemperatureMillis) }
        var remaining = random.nextDouble() * weights.sum()
        val index = weights.indexOfFirst { weight ->
            remaining -= weight
            remaining < 0
        }
        return options[if (index < 0) costs.indexOf(least) else index]
    }

    /**
     * Selects one of the keys of [rooms] in proportion to their values, or none: of what is [offered], no more than
     * what all rooms together have left beside the work that goes first.
     */
    fun <T> selectShare(rooms: Map<T, Double>, offered: Offered): T? {
        val total = rooms.values.sum()
        if (random.nextDouble() >= offered.admittedShare(total)) return null
        var remaining = random.nextDouble() * total
        return rooms.entries.firstOrNull { (_, room) ->
            remaining -= room
            remaining < 0
        }?.key
    }

    private companion object {
        // The number of engines besides the home engine in a deployment of eight.
        const val SAMPLED_ENGINES = 7

        // Enough to notice that the engines that come first are slower than others.
        const val SAMPLED_REST = 2
    }
}
