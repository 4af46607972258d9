package org.parsleymoor.relay.limits

import org.parsleymoor.core.InstanceId

/**
 * The demand for each service at the instances, as they announce it, this one included: all of them have to divide a
 * limit by the same figures. Not thread-safe.
 */
public class ServiceDemands(private val self: InstanceId) {
    private val requests = HashMap<String, SlidingWindowCounter>()
    private val announced = HashMap<String, HashMap<InstanceId, Announced>>()

    private class Announced(val perSecond: Double, val atMillis: Long)

    /** Counts a caller's request for [service]; returns whether the demand has to be announced at once. */
    public fun recordRequest(service: String, nowMillis: Long): Boolean {
        requests.getOrPut(service) { SlidingWindowCounter(MEASURED_MILLIS) }.add(nowMillis)
        return announced[service]?.get(self)?.perSecond == 0.0
    }

    /** Measures the demand for [service] at this instance, to be announced to all. */
    public fun measure(service: String, nowMillis: Long): ServiceDemand {
        val measured = (requests[service]?.count(nowMillis) ?: 0) / MEASURED_SECONDS
        val last = announced[service]?.get(self)?.perSecond ?: 0.0
        // Each change of the demands divides the limits anew, which leaves permissions unused for a while.
        val isAlike = measured in last / ALIKE..last * ALIKE
        return ServiceDemand(self, service, if (isAlike) last else measured).also { learn(it, nowMillis) }
    }

    /** Records what an instance announced. */
    public fun learn(demand: ServiceDemand, nowMillis: Long) {
        announced.getOrPut(demand.service) { HashMap() }[demand.origin] = Announced(demand.perSecond, nowMillis)
    }

    /** Returns the demand for [service] at each instance that announced it a short time ago, in requests a second. */
    public fun of(service: String, nowMillis: Long): Map<InstanceId, Double> {
        val instances = announced[service] ?: return emptyMap()
        instances.values.removeAll { nowMillis - it.atMillis >= ANNOUNCED_LIFE_MILLIS }
        return instances.mapValues { it.value.perSecond }
    }

    private companion object {
        const val MEASURED_MILLIS = 16_000L
        const val MEASURED_SECONDS = 16.0
        const val ALIKE = 2.0

        // Three announcements, of which two may be lost with a connection.
        const val ANNOUNCED_LIFE_MILLIS = 3_500L
    }
}
