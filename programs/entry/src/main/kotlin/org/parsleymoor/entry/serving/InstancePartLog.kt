package org.parsleymoor.entry.serving

import kotlinx.serialization.json.put
import org.parsleymoor.core.Clock
import org.parsleymoor.entry.EntryMetrics
import org.parsleymoor.entry.log.StructuredLog
import org.parsleymoor.relay.limits.InstancePart

/** Logs changes of the part that this instance may use of limits that all instances share. */
internal class InstancePartLog(
    private val deployment: DeploymentView,
    private val log: StructuredLog,
    private val metrics: EntryMetrics,
    private val clock: Clock,
) {
    private var logged: Pair<String, Int>? = null

    /** Logs the current part if it has changed, and updates its metric. */
    fun logChange() {
        val known = deployment.knownInstances
        val current = when (val part = known.part(clock.nowMillis())) {
            InstancePart.Nothing -> "nothing" to 0
            is InstancePart.OfReserve -> "reserve" to part.instances.size
            is InstancePart.OfLimit -> "limit" to part.instances.size
        }
        if (current == logged) return
        logged = current
        val (name, count) = current
        metrics.instancePart.set(name, count, known.isFromPeer)
        log.write("members.part", always = true) {
            put("of", name)
            put("count", count)
            put("source", if (known.isFromPeer) "peer" else "store")
        }
    }
}
