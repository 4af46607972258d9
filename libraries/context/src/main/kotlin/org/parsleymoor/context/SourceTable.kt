package org.parsleymoor.context

import org.parsleymoor.core.EndpointId

/** Numbers the sources of a directory, so that an entry names its source in two bytes. */
internal class SourceTable {
    private val numbers = HashMap<String, Int>()
    private val names = ArrayList<EndpointId?>()

    /** Returns the number of [source], or -1 when it has none. */
    fun find(source: EndpointId): Int = numbers[source.value] ?: -1

    /** Returns the number of [source]; throws [IllegalStateException] beyond [MAXIMUM] sources. */
    fun number(source: EndpointId): Int = numbers.getOrPut(source.value) {
        val free = names.indexOf(null)
        if (free >= 0) names[free] = source else names += source
        check(names.size <= MAXIMUM) { "expected at most $MAXIMUM sources" }
        if (free >= 0) free else names.lastIndex
    }

    /** Returns the source with this [number]. */
    fun name(number: Int): EndpointId = checkNotNull(names[number]) { "expected a source with number $number" }

    /** Frees the number of [source]; no entry may use it any more. */
    fun release(source: EndpointId) {
        numbers.remove(source.value)?.let { names[it] = null }
    }

    private companion object {
        const val MAXIMUM = 65_536
    }
}
