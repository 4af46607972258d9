package org.parsleymoor.context

import org.parsleymoor.core.EndpointId

/** The endpoints that hold one piece. A piece has few holders, so parallel lists are smaller and faster than a map. */
internal class PieceHolders {
    private val sources = ArrayList<String>(1)
    private val blocks = ArrayList<HeldBlock>(1)
    var confirmedMillis: Long = 0

    val size: Int get() = sources.size

    fun isEmpty(): Boolean = sources.isEmpty()

    fun endpoints(): List<EndpointId> = sources.map { EndpointId(it) }

    fun entries(): List<Pair<EndpointId, HeldBlock>> = sources.indices.map { EndpointId(sources[it]) to blocks[it] }

    operator fun get(source: EndpointId): HeldBlock? = blocks.getOrNull(sources.indexOf(source.value))

    /** Returns whether [source] is new for this piece. */
    fun put(source: EndpointId, block: HeldBlock): Boolean {
        val index = sources.indexOf(source.value)
        if (index >= 0) {
            blocks[index] = block
            return false
        }
        sources += source.value
        blocks += block
        return true
    }

    /** Returns whether [source] held this piece. */
    fun remove(source: EndpointId): Boolean {
        val index = sources.indexOf(source.value)
        if (index < 0) return false
        sources.removeAt(index)
        blocks.removeAt(index)
        return true
    }
}
