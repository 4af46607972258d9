package org.parsleymoor.core

import java.util.concurrent.atomic.AtomicLong

/** A source of time in milliseconds since the epoch that never goes backwards within a process. */
public fun interface Clock {
    /** Returns the current time in milliseconds since the epoch. */
    public fun nowMillis(): Long

    public companion object {
        /** The wall clock at process start, advanced by the monotonic timer and so unaffected by clock adjustments. */
        public val System: Clock = MonotonicClock()
    }
}

/** A clock that starts at [startMillis] and that a test or simulation advances explicitly. */
public class ManualClock(startMillis: Long = 0) : Clock {
    private val time = AtomicLong(startMillis)

    override fun nowMillis(): Long = time.get()

    /** Advances the clock by [millis]; throws [IllegalArgumentException] when negative. */
    public fun advance(millis: Long) {
        require(millis >= 0) { "cannot advance the clock by $millis ms: the step must not be negative" }
        time.addAndGet(millis)
    }

    /** Advances the clock to [millis] if that is later than its time. */
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
