package org.parsleymoor.trials

import kotlinx.serialization.SerializationException
import org.HdrHistogram.ConcurrentHistogram
import org.HdrHistogram.Histogram
import java.io.IOException
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/** The calls of one path at one kind of load, over all rounds; latencies are in microseconds. */
internal class LoadSample {
    val latencies: Histogram = ConcurrentHistogram(DIGITS)
    val wrong = AtomicInteger()
    var seconds = 0.0
        private set

    val requests: Long get() = latencies.totalCount

    val requestsPerSecond: Double get() = if (seconds == 0.0) 0.0 else requests / seconds

    /** The latency below which [percent] of the calls lie, in microseconds. */
    fun percentile(percent: Double): Long = latencies.getValueAtPercentile(percent)

    fun lasted(nanos: Long) {
        seconds += nanos / NANOS_PER_SECOND
    }

    private companion object {
        const val DIGITS = 3
        const val NANOS_PER_SECOND = 1e9
    }
}

/** Runs rounds of calls with [concurrency] callers. */
internal class LoadRounds(private val calls: LoadCalls, private val concurrency: Int) {
    /** Each caller sends its next call as soon as it has the answer to the last one. */
    fun fullRate(path: LoadPath, millis: Long, sample: LoadSample) {
        val begin = System.nanoTime()
        val end = begin + millis * NANOS_PER_MILLI
        callers { while (System.nanoTime() < end) call(path, System.nanoTime(), sample) }
        sample.lasted(System.nanoTime() - begin)
    }

    /** Sends calls at full rate until [sample] has [requests] more, for at most [millis]. */
    fun warmUp(path: LoadPath, requests: Long, millis: Long, sample: LoadSample) {
        val wanted = sample.requests + requests
        val end = System.nanoTime() + millis * NANOS_PER_MILLI
        callers { while (sample.requests < wanted && System.nanoTime() < end) call(path, System.nanoTime(), sample) }
    }

    /**
     * Sends [requestsPerSecond] calls a second at even distances. Latency counts from the time at which a call was due,
     * so that a slow answer does not hide the waiting of the calls behind it.
     */
    fun paced(path: LoadPath, requestsPerSecond: Int, millis: Long, sample: LoadSample) {
        val begin = System.nanoTime()
        val step = NANOS_PER_SECOND / requestsPerSecond
        val total = (millis * requestsPerSecond / MILLIS_PER_SECOND).toInt()
        callers { caller ->
            for (number in caller until total step concurrency) {
                val due = begin + number * step
                sleepUntil(due)
                call(path, due, sample)
            }
        }
        sample.lasted(System.nanoTime() - begin)
    }

    private fun call(path: LoadPath, beginNanos: Long, sample: LoadSample) {
        val right = try {
            calls.send(path)
        } catch (_: IOException) {
            false
        } catch (_: SerializationException) {
            false
        }
        if (!right) sample.wrong.incrementAndGet()
        sample.latencies.recordValue((System.nanoTime() - beginNanos) / NANOS_PER_MICRO)
    }

    private fun callers(work: (Int) -> Unit) {
        List(concurrency) { thread(name = "caller-$it") { work(it) } }.forEach { it.join() }
    }

    private fun sleepUntil(nanos: Long) {
        val left = nanos - System.nanoTime()
        if (left > 0) Thread.sleep(left / NANOS_PER_MILLI, (left % NANOS_PER_MILLI).toInt())
    }

    private companion object {
        const val NANOS_PER_MICRO = 1_000L
        const val NANOS_PER_MILLI = 1_000_000L
        const val NANOS_PER_SECOND = 1_000_000_000L
        const val MILLIS_PER_SECOND = 1_000L
    }
}
