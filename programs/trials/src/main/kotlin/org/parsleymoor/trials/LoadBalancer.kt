package org.parsleymoor.trials

import java.util.concurrent.ConcurrentHashMap
import kotlin.concurrent.thread

/** Stands for the platform's load balancer: it asks each gateway whether it is ready and avoids those that are not. */
internal class LoadBalancer(private val gateways: List<GatewayPlace>) : AutoCloseable {
    private val unready: MutableSet<GatewayPlace> = ConcurrentHashMap.newKeySet()

    @Volatile
    private var closed = false

    init {
        gateways.forEach { thread(isDaemon = true, name = "readiness of ${it.name}") { watch(it) } }
    }

    /** Returns the gateway number [preferred], or the next that is ready; the preferred one when none is. */
    fun choose(preferred: Int): GatewayPlace {
        val inOrder = gateways.indices.map { gateways[(preferred + it) % gateways.size] }
        return inOrder.firstOrNull { it !in unready } ?: inOrder.first()
    }

    override fun close() {
        closed = true
    }

    private fun watch(place: GatewayPlace) {
        val web = Web(CHECK_SECONDS)
        while (!closed) {
            val ready = answers { web.get("${place.operations}/ready").status == READY }
            if (ready) unready.remove(place) else unready.add(place)
            Thread.sleep(INTERVAL_MILLIS)
        }
    }

    private companion object {
        const val READY = 200
        const val CHECK_SECONDS = 1L
        const val INTERVAL_MILLIS = 100L
    }
}
