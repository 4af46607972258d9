package org.parsleymoor.gateway.serving

import kotlinx.coroutines.CoroutineScope
import org.parsleymoor.core.Clock
import org.parsleymoor.gateway.ConfigurationHolder
import org.parsleymoor.gateway.StreamSettings
import org.parsleymoor.gateway.operations.GatewayMetrics
import org.parsleymoor.gateway.operations.RequestRecords
import org.parsleymoor.gateway.operations.Tracing

/** Request records, metrics and tracing of the gateway. */
internal class Telemetry(val records: RequestRecords, val metrics: GatewayMetrics, val tracing: Tracing)

/** Dependencies of the request path and of cache maintenance. Work in [background] outlives its request. */
internal class ServingDependencies(
    val configuration: ConfigurationHolder,
    val backEnds: BackEndClients,
    private val telemetry: Telemetry,
    val clock: Clock,
    val streams: StreamSettings,
    val background: CoroutineScope,
) {
    val retryBudget: SharedRetryBudget = SharedRetryBudget()
    val records: RequestRecords get() = telemetry.records
    val metrics: GatewayMetrics get() = telemetry.metrics
    val tracing: Tracing get() = telemetry.tracing
}
