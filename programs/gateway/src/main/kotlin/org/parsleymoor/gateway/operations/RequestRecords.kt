package org.parsleymoor.gateway.operations

import org.parsleymoor.clients.RequestHistory
import org.parsleymoor.clients.RequestStep
import org.parsleymoor.clients.RequestStepKind
import org.parsleymoor.core.Clock
import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.RequestId

/** What this gateway did with the latest [capacity] requests, at most [stepsPerRequest] steps of each. */
internal class RequestRecords(
    private val instance: InstanceId,
    private val clock: Clock,
    private val capacity: Int = 5_000,
    private val stepsPerRequest: Int = 32,
) {
    private val lock = Any()
    private val records = object : LinkedHashMap<String, ArrayList<RequestStep>>() {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<String, ArrayList<RequestStep>>): Boolean =
            size > capacity
    }

    /** Number of requests that have a record. */
    val size: Int get() = synchronized(lock) { records.size }

    /** Adds a step to the record of [request]. */
    fun add(request: RequestId, kind: RequestStepKind, subject: String, reason: String) {
        val step = RequestStep(clock.nowMillis(), instance, kind, subject, reason)
        synchronized(lock) {
            val steps = records.getOrPut(request.value) { ArrayList() }
            if (steps.size < stepsPerRequest) steps += step
        }
    }

    /**
     * Removes the record of [request] unless it got further than its arrival, so that bad input does not push out the
     * records of requests that were served.
     */
    fun dropUnserved(request: RequestId) {
        synchronized(lock) {
            if (records[request.value]?.all { it.kind in UNSERVED } == true) records.remove(request.value)
        }
    }

    /** Returns the steps of [request], none when it is not known. */
    fun history(request: RequestId): RequestHistory =
        RequestHistory(request, synchronized(lock) { records[request.value]?.toList().orEmpty() })

    private companion object {
        val UNSERVED = setOf(RequestStepKind.RECEIVED, RequestStepKind.REFUSED)
    }
}
