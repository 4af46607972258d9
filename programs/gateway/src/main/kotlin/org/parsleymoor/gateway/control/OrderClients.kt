package org.parsleymoor.gateway.control

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.onFailure
import io.vertx.core.Vertx
import org.parsleymoor.clients.EndpointFailure
import org.parsleymoor.clients.EngineLoad
import org.parsleymoor.clients.EngineOrder
import org.parsleymoor.clients.EngineRefusalReason
import org.parsleymoor.clients.HttpAddress
import org.parsleymoor.clients.VertxEngineClient
import org.parsleymoor.coordination.OrderOutcome
import java.util.concurrent.ConcurrentHashMap

/**
 * HTTP clients for engine orders and load reports, one per address. Connecting and the exchange take at most
 * [PHASE_TIMEOUT_MILLIS] each, so that an order is delivered or abandoned within nine tenths of the maximum delivery
 * time. A client whose call got no answer is replaced, because its open connections may never respond again.
 */
internal class OrderClients(private val vertx: Vertx) : AutoCloseable {
    private val clients = ConcurrentHashMap<String, VertxEngineClient>()

    /** Reads the load report of the engine at [address]. */
    suspend fun load(address: String): Result<EngineLoad, EndpointFailure> {
        val client = client(address)
        return client.load().onFailure { replace(address, client, it) }
    }

    /** Sends [order] once, without retries, and suspends until its outcome. */
    suspend fun order(address: String, order: EngineOrder): OrderOutcome {
        val client = client(address)
        return client.order(order).onFailure { replace(address, client, it) }
            .fold({ OrderOutcome.ACCEPTED }, ::outcomeOf)
    }

    /** Closes the clients of all addresses that are not in [addresses]. */
    fun retainOnly(addresses: Set<String>) {
        clients.keys.filter { it !in addresses }.forEach { clients.remove(it)?.close() }
    }

    override fun close() {
        retainOnly(emptySet())
    }

    private fun client(address: String): VertxEngineClient = clients.computeIfAbsent(address) {
        VertxEngineClient(vertx, HttpAddress.parse(it), POOL_SIZE, PHASE_TIMEOUT_MILLIS)
    }

    private fun replace(address: String, client: VertxEngineClient, failure: EndpointFailure) {
        if (failure !is EndpointFailure.Refused && clients.remove(address, client)) client.close()
    }

    private companion object {
        const val POOL_SIZE = 2
        const val PHASE_TIMEOUT_MILLIS = 900L
    }
}

private fun outcomeOf(failure: EndpointFailure): OrderOutcome = when (failure) {
    is EndpointFailure.NotConnected -> OrderOutcome.REFUSED
    is EndpointFailure.Refused ->
        if (failure.refusal.reason == EngineRefusalReason.STALE_FENCING) OrderOutcome.STALE else OrderOutcome.REFUSED
    is EndpointFailure.Broken, is EndpointFailure.Silent, is EndpointFailure.Malformed -> OrderOutcome.LOST
}
