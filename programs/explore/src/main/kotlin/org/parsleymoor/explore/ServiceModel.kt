package org.parsleymoor.explore

import org.parsleymoor.core.RequestId
import org.parsleymoor.execution.atmostonce.KeyedCall

/** A plain service whose calls are not repeatable, and the runs that it has seen. */
internal class ServiceModel(private val world: World) {
    private val runsByKey = HashMap<String, Int>()
    private val requests = HashSet<RequestId>()

    fun run(call: KeyedCall) {
        world.note { "the service runs ${call.request} with key ${call.key}" }
        val count = runsByKey.merge(call.key, 1, Int::plus) ?: 0
        if (count > 1) world.violate("I8", "at most one run of key ${call.key}", "$count runs")
        requests += call.request
    }

    fun hasRun(request: RequestId): Boolean = request in requests
}
