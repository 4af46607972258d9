package org.parsleymoor.bench.slopes

import java.lang.management.ManagementFactory

/** Reads this process's processor time and live heap. */
internal object ProcessMeter {
    private val threads = ManagementFactory.getThreadMXBean()
    private val system =
        ManagementFactory.getOperatingSystemMXBean() as com.sun.management.OperatingSystemMXBean

    /** Returns the processor time in nanoseconds that [work] used on the calling thread. */
    inline fun threadNanos(work: () -> Unit): Long {
        val before = threads.currentThreadCpuTime
        work()
        return threads.currentThreadCpuTime - before
    }

    /**
     * Returns the processor time in nanoseconds that all threads of the process used during [work], in steps of the
     * system's clock tick of 10 ms.
     */
    inline fun processNanos(work: () -> Unit): Long {
        val before = system.processCpuTime
        work()
        return system.processCpuTime - before
    }

    /** Returns the bytes that the result of [build] keeps alive: the live heap after it less the one before. */
    fun <T> retainedBytes(build: () -> T): Retained<T> {
        val before = liveHeapBytes()
        val result = build()
        return Retained(result, liveHeapBytes() - before)
    }

    private fun liveHeapBytes(): Long {
        repeat(COLLECTIONS) {
            System.gc()
            Thread.sleep(COLLECTION_PAUSE_MILLIS)
        }
        return ManagementFactory.getMemoryMXBean().heapMemoryUsage.used
    }

    private const val COLLECTIONS = 3
    private const val COLLECTION_PAUSE_MILLIS = 30L
}

/** A result and the bytes that it keeps alive. */
internal data class Retained<T>(val result: T, val bytes: Long)
