package org.parsleymoor.entry.serving

import org.parsleymoor.core.Clock
import org.parsleymoor.entry.EntryMetrics
import org.parsleymoor.entry.log.StructuredLog

/** Dependencies shared by the steps of serving a request. */
internal class ServingContext(
    val deployment: DeploymentView,
    val log: StructuredLog,
    val metrics: EntryMetrics,
    val clock: Clock,
    val shutdown: ShutdownGate,
    load: InstanceLoad,
) {
    val lag = load.lag
    val held = load.held
}
