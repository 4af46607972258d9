package org.parsleymoor.core

import net.openhft.hashing.LongHashFunction

/**
 * Orders [candidates] for [key] by highest random weight, best first. Every caller with the same candidates gets the
 * same order, and the loss of one candidate moves only the keys that it held.
 */
public fun <T> rendezvousOrder(key: String, candidates: Collection<T>, name: (T) -> String): List<T> =
    candidates.sortedWith(compareByDescending<T> { rendezvousWeight(key, name(it)) }.thenBy(name))

private fun rendezvousWeight(key: String, candidate: String): Long {
    val seed = LongHashFunction.xx3().hashChars(key)
    return LongHashFunction.xx3(seed).hashChars(candidate)
}
