package org.parsleymoor.bench

import org.parsleymoor.context.PieceHash

/** The text that the gateways of one region hold, so that it crosses the link once; least recently used first out. */
internal class TextCache(private val capacity: Int) {
    private val pieces = object : LinkedHashMap<PieceHash, Unit>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: Map.Entry<PieceHash, Unit>): Boolean = size > capacity
    }

    fun lacking(wanted: List<PieceHash>): Int = wanted.count { !pieces.containsKey(it) }

    fun add(received: List<PieceHash>) {
        received.forEach { pieces[it] = Unit }
    }

    private companion object {
        const val INITIAL_CAPACITY = 1_024
        const val LOAD_FACTOR = 0.75f
    }
}
