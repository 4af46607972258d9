package org.parsleymoor.gateway.serving

import com.github.michaelbull.result.onSuccess
import org.parsleymoor.configuration.EndpointKind
import org.parsleymoor.context.CacheChange
import org.parsleymoor.core.Clock
import org.parsleymoor.core.EndpointId
import org.parsleymoor.gateway.ConfigurationHolder

/** Polls the engines for load reports and cache events every [intervalMillis] until it is cancelled. */
internal class EnginePoller(
    private val configuration: ConfigurationHolder,
    private val backEnds: BackEndClients,
    private val reports: FleetReports,
    private val clock: Clock,
    private val intervalMillis: Long = 500,
    private val onCacheChanges: (EndpointId, List<CacheChange>) -> Unit = { _, _ -> },
) {
    private val cacheReader = CacheReader(configuration, backEnds, reports)

    suspend fun run(): Unit = configuration.pollEndpoints(EndpointKind.ENGINE, intervalMillis) { engine ->
        val requestedMillis = clock.nowMillis()
        backEnds.direct(engine).load().onSuccess { reports.report(engine.name, it, requestedMillis) }
        onCacheChanges(engine.name, cacheReader.read(engine))
    }
}
