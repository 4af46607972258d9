package org.parsleymoor.core

import java.util.concurrent.atomic.AtomicLong

/** Source of time in milliseconds since the epoch; never goes backwards within a process. */
public fun interface Clock {
    /** Returns the current time in milliseconds since the epoch. */
    public fun nowMillis(): Long

    public companion object {
        /** The wall clock at process start advanced by the monotonic timer, so that clock steps do not move it. */
        public val System: Clock = MonotonicClock()
    }
}

/** A clock that a test or a simulation advances by hand; starts at [startMillis]. */
public class ManualClock(startMillis: Long = 0) : Clock {
    private val time = AtomicLong(startMillis)

    override fun nowMillis(): Long = time.get()

    /** Moves the clock forward by [millis]; throws [IllegalArgumentException] when negative. */
    public fun advance(millis: Long) {
        require(millis >= 0) { "expected a step of at least 0 ms, got $millis" }
        time.addAndGet(millis)
    }

    /** Moves the clock to [millis] when that is later than now. */
    public fun advanceTo(millis: Long) {
        time.updateAndGet { maxOf(it, millis) }
    }
}

private class MonotonicClock : Clock {
    private val originMillis = System.currentTimeMillis()
    private val originNanos = System.nanoTime()

    override fun nowMillis(): Long = originMillis + (System.nanoTime() - originNanos) / NANOS_PER_MILLI

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
