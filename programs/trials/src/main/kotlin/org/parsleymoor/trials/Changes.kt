package org.parsleymoor.trials

import kotlinx.serialization.builtins.ListSerializer
import org.parsleymoor.clients.GatewayStatus
import org.parsleymoor.clients.StoredObject
import org.parsleymoor.clients.WireJson
import org.parsleymoor.configuration.Configuration
import org.parsleymoor.configuration.ConfigurationRoot
import java.io.IOException

/** Changes the configuration of a running fleet; nobody else changes it. */
internal class Changes(private val fleet: Fleet) {
    private val web = Web()
    private var current = Deployment.configuration(1, fleet.ports)

    /** Writes the next revision and returns the time since the epoch when it was known to be accepted. */
    fun write(edit: (Configuration) -> Configuration): Long {
        val next = edit(current).copy(revision = current.revision + 1)
        repeat(ATTEMPTS) {
            publish(next)
            if (storedRevision() == next.revision) {
                current = next
                return System.currentTimeMillis()
            }
            Thread.sleep(POLL_MILLIS)
        }
        error("expected the platform to accept revision ${next.revision}, found revision ${storedRevision()}")
    }

    /** Makes a small change and returns the milliseconds until it was in effect at every gateway but [unreachable]. */
    fun millisInForce(unreachable: Set<String>): Long {
        val accepted = write { it.copy(limits = it.limits.copy(queueLength = it.limits.queueLength + 1)) }
        val waiting = fleet.gateways.filter { it.name !in unreachable }.toMutableList()
        while (waiting.isNotEmpty() && System.currentTimeMillis() - accepted < LIMIT_MILLIS) {
            waiting.removeAll { revisionAt(it) >= current.revision }
            if (waiting.isNotEmpty()) Thread.sleep(POLL_MILLIS)
        }
        return System.currentTimeMillis() - accepted
    }

    private fun publish(next: Configuration) {
        try {
            // The object's version rises with each revision, because only this class writes it.
            fleet.publish(next, expectedVersion = current.revision)
        } catch (_: IOException) {
            // The write may have taken effect; the root is read back.
        }
    }

    private fun storedRevision(): Long = try {
        // A new client, because a fault may have silenced the connections that an earlier one keeps open.
        val objects = Web().get("${fleet.platform}/objects/${ConfigurationRoot.KIND}").body
        WireJson.decodeFromString(ListSerializer(StoredObject.serializer()), objects)
            .firstOrNull { it.name == ConfigurationRoot.NAME }?.version ?: 0
    } catch (_: IOException) {
        0
    }

    private fun revisionAt(place: GatewayPlace): Long = try {
        WireJson.decodeFromString(GatewayStatus.serializer(), web.get("${place.operations}/status").body).revision
    } catch (_: IOException) {
        0
    }

    private companion object {
        const val ATTEMPTS = 200
        const val POLL_MILLIS = 20L
        const val LIMIT_MILLIS = 30_000L
    }
}
