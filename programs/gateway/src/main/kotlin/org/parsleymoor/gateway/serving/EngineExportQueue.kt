package org.parsleymoor.gateway.serving

import org.parsleymoor.context.CacheChange
import org.parsleymoor.context.PieceHash

/** The blocks of one engine that no store may hold yet, in the order in which the engine stored them. */
internal class EngineExportQueue {
    private val waiting = LinkedHashSet<PieceHash>()
    private var busy = false

    /** Takes in what the engine reported. */
    @Synchronized
    fun accept(changes: List<CacheChange>) {
        changes.forEach { change ->
            when (change) {
                is CacheChange.Stored -> waiting += change.piece
                is CacheChange.Evicted -> waiting -= change.piece
            }
        }
        repeat(waiting.size - MAXIMUM_WAITING) { waiting.remove(waiting.first()) }
    }

    /** Removes the pieces that [isDone] names, and then takes the first [count] unless an export is in progress. */
    @Synchronized
    fun takeBatch(count: Int, isDone: (PieceHash) -> Boolean): List<PieceHash> {
        if (busy) return emptyList()
        waiting.removeIf(isDone)
        val batch = waiting.take(count)
        waiting -= batch.toSet()
        busy = batch.isNotEmpty()
        return batch
    }

    /** Ends an export; [again] are tried once more. */
    @Synchronized
    fun finishBatch(again: List<PieceHash>) {
        val later = waiting.toList()
        waiting.clear()
        waiting += again
        waiting += later
        busy = false
    }

    private companion object {
        const val MAXIMUM_WAITING = 10_000
    }
}
