package org.parsleymoor.entry.log

import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.parsleymoor.core.Clock
import java.io.PrintStream
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread

/**
 * Log of one JSON object per line. A separate thread writes the lines, so that a slow reader of [output] delays no
 * request. When [MAX_QUEUED_LINES] are waiting or [MAX_LINES_PER_SECOND] have been logged within a second, further
 * lines are dropped; the next line states how many.
 */
public class StructuredLog(
    private val clock: Clock,
    private val instance: String,
    private val output: PrintStream = System.out,
) {
    private val queue = ArrayBlockingQueue<String>(MAX_QUEUED_LINES)
    private val dropped = AtomicLong()
    private var second = 0L
    private var linesInSecond = 0

    init {
        thread(name = "log", isDaemon = true) { while (true) output.println(queue.take()) }
    }

    /** Logs [event] with the fields that [fields] adds; with [always], regardless of the rate limit. */
    public fun write(event: String, always: Boolean = false, fields: JsonObjectBuilder.() -> Unit = {}) {
        val nowMillis = clock.nowMillis()
        if (!always && !withinRate(nowMillis)) {
            dropped.incrementAndGet()
            return
        }
        val line = buildJsonObject {
            put("time", nowMillis)
            put("instance", instance)
            put("event", event)
            fields()
            dropped.getAndSet(0).takeIf { it > 0 }?.let { put("droppedLines", it) }
        }
        if (!queue.offer(line.toString())) dropped.incrementAndGet()
    }

    /** Waits up to [millis] until the queued lines have been written. */
    public fun flush(millis: Long) {
        val until = System.nanoTime() + millis * NANOS_PER_MILLI
        while (queue.isNotEmpty() && System.nanoTime() < until) Thread.sleep(1)
        output.flush()
    }

    private fun withinRate(nowMillis: Long): Boolean {
        if (nowMillis / MILLIS_PER_SECOND != second) {
            second = nowMillis / MILLIS_PER_SECOND
            linesInSecond = 0
        }
        return linesInSecond++ < MAX_LINES_PER_SECOND
    }

    private companion object {
        // About five times the lines per second of the smallest instance under high load.
        const val MAX_LINES_PER_SECOND = 300
        const val MAX_QUEUED_LINES = 1_024
        const val MILLIS_PER_SECOND = 1_000L
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
