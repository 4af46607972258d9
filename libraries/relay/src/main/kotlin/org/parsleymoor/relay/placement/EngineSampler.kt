package org.parsleymoor.relay.placement

import kotlin.math.exp
import kotlin.random.Random

/**
 * Draws engines. Instances do not see at once what the others send: if each took the cheapest, a burst would meet at
 * one engine. [softmaxTemperatureMillis] is the difference in cost at which an engine is drawn e times less often.
 */
internal class EngineSampler(private val softmaxTemperatureMillis: Double, private val random: Random) {
    /**
     * Returns those of [candidates] that [mayHold] the context, and a few others by chance. Were all others drawn from,
     * the more engines a deployment has, the fewer prompts would meet their context.
     */
    fun <T> sample(candidates: List<T>, mayHold: (T) -> Boolean): List<T> {
        val (holders, others) = candidates.partition(mayHold)
        if (others.size <= SAMPLED_ENGINES) return candidates
        return holders + others.shuffled(random).take(SAMPLED_ENGINES)
    }

    /** Draws one of [options], with a probability that falls with its [cost]. */
    fun <T> one(options: List<T>, cost: (T) -> Double): T {
        val costs = options.map(cost)
        val least = costs.min()
        val weights = costs.map { exp((least - it) / softmaxTemperatureMillis) }
        var rest = random.nextDouble() * weights.sum()
        val index = weights.indexOfFirst { weight ->
            rest -= weight
            rest < 0
        }
        return options[if (index < 0) costs.indexOf(least) else index]
    }

    private companion object {
        // As many as there are beside the home in the deployments of eight engines, on which the draw was measured.
        const val SAMPLED_ENGINES = 7
    }
}
