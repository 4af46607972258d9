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

/**
 * Selects the client for an engine, for example one that goes through a gateway of the engine's region. `direct` calls
 * the engine's own address.
 */
internal fun interface EngineRouter {
    fun route(endpoint: EndpointDeclaration, direct: EngineClient): EngineClient
}

/** The clients of the declared endpoints, one per address. */
internal class BackEndClients(
    private val vertx: Vertx,
    private val router: EngineRouter = EngineRouter { _, direct -> direct },
) : AutoCloseable {
    private val engines = ConcurrentHashMap<String, VertxEngineClient>()
    private val stores = ConcurrentHashMap<String, VertxStoreClient>()
    private val services = ConcurrentHashMap<String, VertxServiceClient>()

    /** Returns the client that calls an engine's own address. */
    fun direct(endpoint: EndpointDeclaration): EngineClient =
        engines.computeIfAbsent(endpoint.address) { VertxEngineClient(vertx, HttpAddress.parse(it)) }

    /** Returns the client for new requests to an engine, which the router may send through another gateway. */
    fun engine(endpoint: EndpointDeclaration): EngineClient = router.route(endpoint, direct(endpoint))

    /** Returns the client of a KV cache store. */
    fun store(endpoint: EndpointDeclaration): StoreClient =
        stores.computeIfAbsent(endpoint.address) {
            VertxStoreClient(vertx, HttpAddress.parse(it), STORE_TIMEOUT_MILLIS)
        }

    /** Returns the cache client of an endpoint; null for a service replica, which holds no blocks. */
    fun cache(endpoint: EndpointDeclaration): CacheClient? = when (endpoint.kind) {
        EndpointKind.ENGINE -> direct(endpoint)
        EndpointKind.STORE -> store(endpoint)
        EndpointKind.SERVICE -> null
    }

    /** Returns the client of a service replica. */
    fun service(endpoint: EndpointDeclaration): ServiceClient =
        services.computeIfAbsent(endpoint.address) { VertxServiceClient(vertx, HttpAddress.parse(it)) }

    /** Closes all clients except those of [addresses]. */
    fun retain(addresses: Set<String>) {
        engines.keys.filter { it !in addresses }.forEach { engines.remove(it)?.close() }
        stores.keys.filter { it !in addresses }.forEach { stores.remove(it)?.close() }
        services.keys.filter { it !in addresses }.forEach { services.remove(it)?.close() }
    }

    override fun close() {
        retain(emptySet())
    }

    private companion object {
        // Short, so that an unresponsive store is noticed within a few polls and does not delay those of other stores.
        const val STORE_TIMEOUT_MILLIS = 1_000L
    }
}
