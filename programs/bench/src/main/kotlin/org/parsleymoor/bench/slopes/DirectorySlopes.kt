package org.parsleymoor.bench.slopes

import org.parsleymoor.context.CacheChange
import org.parsleymoor.context.CacheDirectory
import org.parsleymoor.context.CacheDirectorySettings
import org.parsleymoor.context.CacheReport
import org.parsleymoor.context.CacheTier
import org.parsleymoor.context.PieceHash
import org.parsleymoor.context.SequencedChange
import org.parsleymoor.core.EndpointId

/** What the cache directory of one gateway keeps and computes at each number of returning contexts. */
internal data class DirectorySlopes(val bytes: Slope, val microsecondsPerEvent: Slope)

/** Fills a directory with contexts of [piecesPerContext] pieces, held by one of [sources] caches each. */
internal class DirectoryMeasurement(
    private val sizes: List<Int>,
    private val piecesPerContext: Int = PIECES_PER_CONTEXT,
    private val sources: Int = SOURCES,
) {
    fun measure(): DirectorySlopes {
        val runs = sizes.associateWith { run(it) }
        fun slope(name: String, unit: String, value: (Run) -> Double) =
            Slope(name, "contexts", unit, runs.map { (size, run) -> SlopePoint(size, value(run)) })
        return DirectorySlopes(
            bytes = slope("directory-memory", "bytes") { it.bytes },
            microsecondsPerEvent = slope("directory-event-processor", "us per event") { it.microsecondsPerEvent },
        )
    }

    private fun run(contexts: Int): Run {
        var processorNanos = 0L
        val retained = ProcessMeter.retainedBytes {
            CacheDirectory(CacheDirectorySettings(maximumBlocks = Int.MAX_VALUE)).also { directory ->
                processorNanos = ProcessMeter.threadNanos { fill(directory, contexts) }
            }
        }
        val events = contexts.toLong() * piecesPerContext
        check(retained.result.size.toLong() == events) { "expected $events blocks, found ${retained.result.size}" }
        return Run(retained.bytes.toDouble(), processorNanos / NANOS_PER_MICROSECOND / events)
    }

    private fun fill(directory: CacheDirectory, contexts: Int) {
        val nextSequence = LongArray(sources) { 1 }
        repeat(contexts) { context ->
            val source = context % sources
            val changes = List(piecesPerContext) { piece ->
                val hash = PieceHash(context.toLong(), piece.toLong())
                SequencedChange(nextSequence[source]++, CacheChange.Stored(hash, CacheTier.STORE_DISK))
            }
            val newest = nextSequence[source] - 1
            directory.accept(CacheReport.Changes(EndpointId("cache-$source"), 1, newest, changes), context.toLong())
        }
    }

    private data class Run(val bytes: Double, val microsecondsPerEvent: Double)

    private companion object {
        const val PIECES_PER_CONTEXT = 4
        const val SOURCES = 10
        const val NANOS_PER_MICROSECOND = 1_000.0
    }
}
