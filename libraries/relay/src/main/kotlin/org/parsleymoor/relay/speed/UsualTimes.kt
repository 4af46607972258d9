package org.parsleymoor.relay.speed

import kotlin.math.exp
import kotlin.math.ln

/**
 * The times that work of each kind usually takes at the endpoints of a service together, by which the speed of one of
 * them is measured. Not thread-safe.
 */
public class UsualTimes {
    private val times = HashMap<String, Mean>()
    private val runs = HashMap<String, Mean>()

    /**
     * Records that the endpoint of [speed] took [millis] for work of [kind], which was expected to take
     * [expectedMillis] at the usual speed. Expectations that are wrong for all endpoints alike do not matter.
     */
    public fun record(
        speed: EndpointSpeed,
        kind: String,
        millis: Double,
        nowMillis: Long,
        expectedMillis: Double = 1.0,
    ) {
        val ratio = ln(millis.coerceAtLeast(1.0) / expectedMillis.coerceAtLeast(1.0)) - speed.reportedLasting(nowMillis)
        val mean = times.mean(kind)
        if (mean.count >= MIN_COUNT) speed.recordDeviation(ratio - mean.value, nowMillis)
        mean.add(ratio)
    }

    /** Records that a run of a request at [service] took [millis] at the endpoint of [speed]. */
    public fun recordRun(service: String, speed: EndpointSpeed, millis: Double, nowMillis: Long) {
        runs.mean(service).add(ln(millis.coerceAtLeast(1.0)) - speed.reportedLasting(nowMillis))
    }

    /** Returns how many milliseconds a run of a request at [service] usually takes, or null if that is not known. */
    public fun runMillis(service: String): Double? =
        runs[service]?.takeIf { it.count >= MIN_RUNS }?.let { exp(it.value) }

    private fun HashMap<String, Mean>.mean(key: String): Mean {
        if (size >= MAX_KINDS && key !in this) clear()
        return getOrPut(key) { Mean() }
    }

    private class Mean {
        var value = 0.0
            private set
        var count = 0
            private set

        fun add(sample: Double) {
            if (count < MAX_COUNT) count++
            value += (sample - value) / count
        }
    }

    private companion object {
        // With fewer, the first answers would be compared with themselves.
        const val MIN_COUNT = 8
        const val MIN_RUNS = 20
        const val MAX_COUNT = 200

        // More routes than a configuration usually has.
        const val MAX_KINDS = 2_000
    }
}
