package org.parsleymoor.entry.control

import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import kotlinx.serialization.json.put
import org.parsleymoor.core.Clock
import org.parsleymoor.entry.log.StructuredLog
import org.parsleymoor.entry.protocol.ObjectChange
import org.parsleymoor.entry.protocol.ObjectKind
import org.parsleymoor.entry.protocol.ReleaseProtocol
import org.parsleymoor.entry.protocol.StoredObject
import org.parsleymoor.entry.serving.DeploymentView

/** Tracks the orders to move the traffic of services to other releases, and their stored status. */
internal class ReleaseListener(
    private val deployment: DeploymentView,
    private val protocol: ReleaseProtocol,
    private val log: StructuredLog,
    private val clock: Clock,
) : ObjectListener {
    override fun onKnownCurrent(atMillis: Long) {
        deployment.releases.markCurrent(clock.nowMillis())
    }

    override fun onList(objects: List<StoredObject>) {
        (deployment.releases.ordered - objects.map { it.name }.toSet()).forEach(::remove)
        objects.forEachIsolated(log, ObjectKind.RELEASES, ::accept)
        deployment.releases.markListed()
    }

    override fun onChange(change: ObjectChange) {
        if (change.removed) remove(change.value.name) else accept(change.value)
    }

    private fun accept(value: StoredObject) {
        protocol.order(value).onSuccess { stored ->
            deployment.releases.put(stored, value.revision, clock.nowMillis())
            log.write("release.ordered", always = true) {
                put("service", stored.order.service)
                put("release", stored.order.target)
                put("durationMillis", stored.order.durationMillis)
                put("state", stored.state?.name?.lowercase())
                put("revision", value.revision)
            }
        }.onFailure { failure ->
            log.write("release.unreadable", always = true) {
                put("object", value.name)
                put("revision", value.revision)
                put("reason", failure.message)
            }
        }
    }

    private fun remove(service: String) {
        if (service !in deployment.releases.ordered) return
        deployment.releases.remove(service)
        log.write("release.withdrawn", always = true) { put("service", service) }
    }
}
