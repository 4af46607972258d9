package org.parsleymoor.gateway.serving

import io.vertx.core.Vertx
import org.parsleymoor.clients.CacheClient
import org.parsleymoor.clients.EngineClient
import org.parsleymoor.clients.HttpAddress
import org.parsleymoor.clients.ServiceClient
import org.parsleymoor.clients.StoreClient
import org.parsleymoor.clients.VertxEngineClient
import org.parsleymoor.clients.VertxServiceClient
import org.parsleymoor.clients.VertxStoreClient
import org.parsleymoor.configuration.EndpointDeclaration
import org.parsleymoor.configuration.EndpointKind
import java.util.concurrent.ConcurrentHashMap

/** Decides how an engine is reached, for example through a gateway of its region; `direct` goes to its address. */
internal fun interface EngineRouter {
    fun route(endpoint: EndpointDeclaration, direct: EngineClient): EngineClient
}

/** The clients of the endpoints, one for each address. */
internal class BackEndClients(
    private val vertx: Vertx,
    private val route: EngineRouter = EngineRouter { _, direct -> direct },
) : AutoCloseable {
    private val engines = ConcurrentHashMap<String, VertxEngineClient>()
    private val stores = ConcurrentHashMap<String, VertxStoreClient>()
    private val services = ConcurrentHashMap<String, VertxServiceClient>()

    /** The client of an engine's own address. */
    fun direct(endpoint: EndpointDeclaration): EngineClient =
        engines.computeIfAbsent(endpoint.address) { VertxEngineClient(vertx, HttpAddress.parse(it)) }

    /** The client that new work for an engine goes through. */
    fun engine(endpoint: EndpointDeclaration): EngineClient = route.route(endpoint, direct(endpoint))

    /** The client of a KV cache store. */
    fun store(endpoint: EndpointDeclaration): StoreClient =
        stores.computeIfAbsent(endpoint.address) {
            VertxStoreClient(vertx, HttpAddress.parse(it), STORE_CALL_MILLIS)
        }

    /** The client of an endpoint that holds blocks; null for an application replica, which holds none. */
    fun cache(endpoint: EndpointDeclaration): CacheClient? = when (endpoint.kind) {
        EndpointKind.ENGINE -> direct(endpoint)
        EndpointKind.STORE -> store(endpoint)
        EndpointKind.SERVICE -> null
    }

    /** The client of an application replica. */
    fun service(endpoint: EndpointDeclaration): ServiceClient =
        services.computeIfAbsent(endpoint.address) { VertxServiceClient(vertx, HttpAddress.parse(it)) }

    /** Closes the clients of addresses that are no longer declared. */
    fun retain(addresses: Set<String>) {
        engines.keys.filter { it !in addresses }.forEach { engines.remove(it)?.close() }
        stores.keys.filter { it !in addresses }.forEach { stores.remove(it)?.close() }
        services.keys.filter { it !in addresses }.forEach { services.remove(it)?.close() }
    }

    override fun close() {
        retain(emptySet())
    }

    private companion object {
        // A silent store is noticed within a few reports and does not hold up those of the others.
        const val STORE_CALL_MILLIS = 1_000L
    }
}
