package org.parsleymoor.gateway.serving

import com.github.michaelbull.result.onSuccess
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import org.parsleymoor.configuration.EndpointDeclaration
import org.parsleymoor.configuration.EndpointKind
import org.parsleymoor.context.CacheChange
import org.parsleymoor.context.CacheTier
import org.parsleymoor.core.Clock
import org.parsleymoor.core.EndpointId
import org.parsleymoor.gateway.ConfigurationHolder

/** Reads load reports and cache events of the engines every [intervalMillis] until it is cancelled. */
internal class EngineObserver(
    private val configuration: ConfigurationHolder,
    private val backEnds: BackEnds,
    private val reports: FleetReports,
    private val clock: Clock,
    private val intervalMillis: Long = 500,
    private val onChanges: (EndpointId, List<CacheChange>) -> Unit = { _, _ -> },
) {
    private val calls = Semaphore(CONCURRENT_CALLS)

    suspend fun run() {
        while (true) {
            val engines = configuration.current?.endpoints(EndpointKind.ENGINE).orEmpty()
            coroutineScope {
                engines.forEach { engine -> launch { calls.withPermit { observe(engine) } } }
            }
            delay(intervalMillis)
        }
    }

    private suspend fun observe(engine: EndpointDeclaration) {
        val client = backEnds.direct(engine)
        val askedMillis = clock.nowMillis()
        client.load().onSuccess { reports.report(engine.name, it, askedMillis) }
        val reader = CacheReader(engine.name, reports) { CacheTier.ENGINE }
        onChanges(engine.name, reader.read(client::cacheEvents, client::cacheSnapshot))
    }

    private companion object {
        const val CONCURRENT_CALLS = 32
    }
}
