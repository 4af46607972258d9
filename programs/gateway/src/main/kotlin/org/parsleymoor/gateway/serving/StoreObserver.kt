package org.parsleymoor.gateway.serving

import com.github.michaelbull.result.onSuccess
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.parsleymoor.clients.BlockTier
import org.parsleymoor.configuration.EndpointDeclaration
import org.parsleymoor.configuration.EndpointKind
import org.parsleymoor.context.CacheTier
import org.parsleymoor.core.Clock
import org.parsleymoor.gateway.ConfigurationHolder

/** Reads load reports and cache events of the KV cache stores every [intervalMillis] until it is cancelled. */
internal class StoreObserver(
    private val configuration: ConfigurationHolder,
    private val backEnds: BackEnds,
    private val reports: FleetReports,
    private val clock: Clock,
    private val intervalMillis: Long = 500,
) {
    suspend fun run() {
        while (true) {
            val stores = configuration.current?.endpoints(EndpointKind.STORE).orEmpty()
            coroutineScope { stores.forEach { store -> launch { observe(store) } } }
            delay(intervalMillis)
        }
    }

    private suspend fun observe(store: EndpointDeclaration) {
        val client = backEnds.store(store)
        val askedMillis = clock.nowMillis()
        client.load().onSuccess { load ->
            reports.report(store.name, load, askedMillis)
            CacheReader(store.name, reports, ::cacheTierOf).read(client::cacheEvents, client::cacheSnapshot)
        }
    }
}

/** The tier of a store's block as the directory has it. */
internal fun cacheTierOf(tier: BlockTier): CacheTier =
    if (tier == BlockTier.DISK) CacheTier.STORE_DISK else CacheTier.STORE_MEMORY
