package org.parsleymoor.context

import org.parsleymoor.core.EndpointId

/** Assigns numbers to the sources of a directory, so that an entry refers to its source in two bytes. */
internal class SourceTable {
    private val numbers = HashMap<String, Int>()
    private val endpoints = ArrayList<EndpointId?>()

    /** Returns the number of [source], or -1 when it has none. */
    fun find(source: EndpointId): Int = numbers[source.value] ?: -1

    /** Returns the number of [source], or assigns it one; throws [IllegalStateException] beyond [MAXIMUM_SOURCES]. */
    fun findOrAssign(source: EndpointId): Int = numbers.getOrPut(source.value) {
        val free = endpoints.indexOf(null)
        if (free >= 0) endpoints[free] = source else endpoints += source
        check(endpoints.size <= MAXIMUM_SOURCES) { "expected at most $MAXIMUM_SOURCES sources" }
        if (free >= 0) free else endpoints.lastIndex
    }

    /** Returns the source with this [number]. */
    fun endpoint(number: Int): EndpointId = checkNotNull(endpoints[number]) { "expected a source with number $number" }

    /** Frees the number of [source] for reuse; no entry may refer to it any more. */
    fun release(source: EndpointId) {
        numbers.remove(source.value)?.let { endpoints[it] = null }
    }

    private companion object {
        const val MAXIMUM_SOURCES = 65_536
    }
}
