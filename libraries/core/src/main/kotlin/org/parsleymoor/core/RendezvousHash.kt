package org.parsleymoor.core

import net.openhft.hashing.LongHashFunction

/**
 * Orders [candidates] for [key] by highest random weight, best first. Every caller with the same candidates gets the
 * same order, and the loss of one candidate moves only the keys that it held.
 */
public fun <T> rendezvousOrder(key: String, candidates: Collection<T>, name: (T) -> String): List<T> {
    val seed = key.stableHash()
    val weighted = candidates.map { candidate ->
        val ownName = name(candidate)
        Weighted(candidate, ownName, LongHashFunction.xx3(seed).hashChars(ownName))
    }
    return weighted.sortedWith(byWeight).map { it.candidate }
}

/** Returns a hash of this text that is the same in every process. */
public fun String.stableHash(): Long = LongHashFunction.xx3().hashChars(this)

private class Weighted<T>(val candidate: T, val name: String, val weight: Long)

private val byWeight = compareByDescending<Weighted<*>> { it.weight }.thenBy { it.name }
