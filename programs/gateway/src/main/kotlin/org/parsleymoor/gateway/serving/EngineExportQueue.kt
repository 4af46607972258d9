package org.parsleymoor.gateway.serving

import org.parsleymoor.context.CacheChange
import org.parsleymoor.context.PieceHash

/** The blocks of one engine that may not be in any store yet, in the order in which the engine stored them. */
internal class EngineExportQueue {
    private val waiting = LinkedHashSet<PieceHash>()
    private var exporting = false

    /** Applies the engine's cache events. */
    @Synchronized
    fun accept(changes: List<CacheChange>) {
        changes.forEach { change ->
            when (change) {
                is CacheChange.Stored -> waiting += change.piece
                is CacheChange.Evicted -> waiting -= change.piece
            }
        }
        repeat(waiting.size - MAXIMUM_PIECES) { waiting.remove(waiting.first()) }
    }

    /**
     * Drops the pieces for which [isStored] returns true and takes up to [count] of the others for an export.
     * While an export is in progress, changes nothing and returns an empty list.
     */
    @Synchronized
    fun takeBatch(count: Int, isStored: (PieceHash) -> Boolean): List<PieceHash> {
        if (exporting) return emptyList()
        waiting.removeIf(isStored)
        val batch = waiting.take(count)
        waiting -= batch.toSet()
        exporting = batch.isNotEmpty()
        return batch
    }

    /** Ends the export of a batch and puts the pieces in [retry] back at the front. */
    @Synchronized
    fun finishBatch(retry: List<PieceHash>) {
        val rest = waiting.toList()
        waiting.clear()
        waiting += retry
        waiting += rest
        exporting = false
    }

    private companion object {
        const val MAXIMUM_PIECES = 10_000
    }
}
