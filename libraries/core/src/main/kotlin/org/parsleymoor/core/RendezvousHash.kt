package org.parsleymoor.core

import net.openhft.hashing.LongHashFunction

/**
 * Orders [candidates] for [key] by highest random weight (rendezvous hashing), highest first. The order depends only on
 * the key and the candidates' names, and removing a candidate reassigns only the keys for which it came first.
 */
public fun <T> rendezvousOrder(key: String, candidates: Collection<T>, name: (T) -> String): List<T> {
    val seed = key.stableHash()
    val weighted = candidates.map { candidate ->
        val candidateName = name(candidate)
        Weighted(candidate, candidateName, LongHashFunction.xx3(seed).hashChars(candidateName))
    }
    return weighted.sortedWith(byWeight).map { it.candidate }
}

/** Returns a hash of this text that is the same in every process. */
public fun String.stableHash(): Long = LongHashFunction.xx3().hashChars(this)

private class Weighted<T>(val candidate: T, val name: String, val weight: Long)

private val byWeight = compareByDescending<Weighted<*>> { it.weight }.thenBy { it.name }
