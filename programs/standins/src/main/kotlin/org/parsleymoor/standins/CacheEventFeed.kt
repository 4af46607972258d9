package org.parsleymoor.standins

import org.parsleymoor.clients.CacheEvent
import org.parsleymoor.clients.CacheEventKind
import org.parsleymoor.clients.CacheEvents
import org.parsleymoor.clients.CachedBlock

/** Cache events that show [lagMillis] late; of those shown only the last [history] are kept. */
internal class CacheEventFeed(private val lagMillis: Long, private val history: Int) {
    private val events = ArrayDeque<Timed>()
    private var drop = 0

    /** The sequence of the last event. */
    var sequence: Long = 0
        private set

    fun add(kind: CacheEventKind, block: CachedBlock, nowMillis: Long) {
        sequence += 1
        if (drop > 0) {
            drop -= 1
            events.clear()
            return
        }
        events += Timed(nowMillis, CacheEvent(sequence, kind, block.piece, block.generation, block.bytes, block.tier))
        while (events.size > history) events.removeFirst()
    }

    /** Loses the next [count] events together with those before them, so that a reader sees a gap. */
    fun dropNext(count: Int) {
        drop = count
    }

    fun after(sequence: Long, startCount: Long, nowMillis: Long): CacheEvents {
        val shown = events.takeWhile { it.atMillis + lagMillis <= nowMillis }.map { it.event }
        val newest = shown.lastOrNull()?.sequence ?: (events.firstOrNull()?.event?.sequence ?: (this.sequence + 1)) - 1
        val oldest = shown.firstOrNull()?.sequence ?: (newest + 1)
        return CacheEvents(startCount, oldest, newest, shown.filter { it.sequence > sequence })
    }

    fun reset() {
        events.clear()
        sequence = 0
    }

    private data class Timed(val atMillis: Long, val event: CacheEvent)
}
