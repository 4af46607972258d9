package org.parsleymoor.explore

import org.apache.commons.rng.UniformRandomProvider
import org.apache.commons.rng.simple.RandomSource

/** The source of every choice in a history; the same [seed] gives the same choices. */
internal class Chance(seed: Long) {
    private val random: UniformRandomProvider = RandomSource.XO_RO_SHI_RO_128_PP.create(seed)

    /** Returns true with [probability]. */
    fun happens(probability: Double): Boolean = probability > 0 && random.nextDouble() < probability

    /** Returns a number from [from] up to and including [to]. */
    fun between(from: Long, to: Long): Long = from + random.nextLong(to - from + 1)

    /** Returns one of [choices]. */
    fun <T> pick(choices: List<T>): T = choices[random.nextInt(choices.size)]

    /** Returns a factor from 1 - [spread] to 1 + [spread]. */
    fun factor(spread: Double): Double = 1 + (random.nextDouble() * 2 - 1) * spread
}
