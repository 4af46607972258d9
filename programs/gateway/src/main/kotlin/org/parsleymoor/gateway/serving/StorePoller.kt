package org.parsleymoor.gateway.serving

import com.github.michaelbull.result.onSuccess
import org.parsleymoor.configuration.EndpointKind
import org.parsleymoor.core.Clock
import org.parsleymoor.gateway.ConfigurationHolder

/** Polls the KV cache stores for load reports and cache events every [intervalMillis] until it is cancelled. */
internal class StorePoller(
    private val configuration: ConfigurationHolder,
    private val backEnds: BackEndClients,
    private val reports: FleetReports,
    private val clock: Clock,
    private val intervalMillis: Long = 500,
) {
    private val cacheReader = CacheReader(configuration, backEnds, reports)

    suspend fun run(): Unit = configuration.pollEndpoints(EndpointKind.STORE, intervalMillis) { store ->
        val requestedMillis = clock.nowMillis()
        backEnds.store(store).load().onSuccess { load ->
            reports.report(store.name, load, requestedMillis)
            cacheReader.read(store)
        }
    }
}
