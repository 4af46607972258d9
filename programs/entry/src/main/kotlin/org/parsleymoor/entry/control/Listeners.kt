package org.parsleymoor.entry.control

import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import kotlinx.serialization.json.put
import org.parsleymoor.core.Clock
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.ModelId
import org.parsleymoor.core.ZoneId
import org.parsleymoor.entry.EndpointListMetrics
import org.parsleymoor.entry.log.StructuredLog
import org.parsleymoor.entry.protocol.ContentDecoder
import org.parsleymoor.entry.protocol.ObjectChange
import org.parsleymoor.entry.protocol.ObjectKind
import org.parsleymoor.entry.protocol.StorePosition
import org.parsleymoor.entry.protocol.StoredObject
import org.parsleymoor.entry.serving.DeploymentView
import org.parsleymoor.relay.fleet.EndpointEntry
import org.parsleymoor.relay.fleet.SocketAddress
import org.parsleymoor.relay.placement.TargetWeights
import org.parsleymoor.relay.routing.RouteTable

/** Applies new configurations; one whose version is not higher than that in force is ignored. */
internal class ConfigurationListener(
    private val deployment: DeploymentView,
    private val decoder: ContentDecoder,
    private val log: StructuredLog,
) : ObjectListener {
    override fun onList(objects: List<StoredObject>) {
        objects.forEachIsolated(log, ObjectKind.CONFIGURATION, ::accept)
    }

    override fun onChange(change: ObjectChange) {
        if (!change.removed) accept(change.value)
    }

    private fun accept(value: StoredObject) {
        decoder.configuration(value.content).onSuccess { configuration ->
            val known = deployment.routes?.configuration?.version
            if (known != null && configuration.version <= known) return
            deployment.routes = RouteTable(configuration)
            val stores = configuration.services.values.mapNotNull { it.store?.address }
            deployment.stores.retain(stores.mapNotNull { SocketAddress.parse(it) }.toSet())
            log.write("configuration.accepted", always = true) {
                put("version", configuration.version)
                put("revision", value.revision)
                put("routes", configuration.routes.size)
            }
        }.onFailure { failure ->
            log.write("configuration.unreadable", always = true) {
                put("revision", value.revision)
                put("reason", failure.message)
            }
        }
    }
}

/** Keeps the endpoint table in sync with the discovery list. */
internal class EndpointListener(
    private val deployment: DeploymentView,
    private val decoder: ContentDecoder,
    private val log: StructuredLog,
    private val clock: Clock,
    private val heartbeatMillis: Long,
    private val metrics: EndpointListMetrics = EndpointListMetrics(),
) : ObjectListener {
    private val restored = deployment.endpoints.restored
    private val positions = HashMap<String, StorePosition>()
    private var era: Long? = null
    private var listIsFromCopy = false

    override fun onKnownCurrent(atMillis: Long) {
        deployment.endpoints.outages.recordConfirmation(atMillis)?.let { outageMillis ->
            metrics.outages.increment()
            log.write("endpoints.outageEnded", always = true) {
                put("outageMillis", outageMillis)
                put("endMillis", atMillis)
            }
        }
        restored.release(clock.nowMillis()).forEach { entry ->
            deployment.endpoints.put(entry, clock.nowMillis())
            log.write("endpoint.released") { put("endpoint", entry.id.value) }
        }
    }

    override fun onCallFailed() {
        deployment.endpoints.outages.recordFailedCall()
    }

    override fun onEra(era: Long) {
        listIsFromCopy = this.era != null
        this.era = era
        if (listIsFromCopy) deployment.endpoints.restore(clock.nowMillis())
    }

    override fun onList(objects: List<StoredObject>) {
        val listed = objects.map { it.name }.toSet()
        (deployment.endpoints.all.map { it.entry.id.value } - listed).forEach(::remove)
        restored.retain(listed.map { EndpointId(it) }.toSet())
        objects.forEachIsolated(log, ObjectKind.ENDPOINTS, ::put)
        listIsFromCopy = false
        deployment.endpointsKnown = true
    }

    override fun onChange(change: ObjectChange) {
        val known = positions[change.value.name]
        if (known != null && positionOf(change.value) < known) return
        if (change.removed) remove(change.value.name) else put(change.value)
    }

    private fun put(value: StoredObject) {
        val position = positionOf(value)
        val known = positions[value.name]
        if (known != null && position <= known) return
        positions[value.name] = position
        decoder.endpoint(value.name, value.content).onSuccess { entry ->
            put(entry, value.revision)
        }.onFailure { failure ->
            remove(value.name)
            log.write("endpoint.unreadable") {
                put("endpoint", value.name)
                put("revision", value.revision)
                put("reason", failure.message)
            }
        }
    }

    private fun put(listed: EndpointEntry, revision: Long) {
        val nowMillis = clock.nowMillis()
        val before = deployment.endpoints[listed.id]?.entry
        if (listIsFromCopy && before != null && isEarlierStart(listed, before)) return
        val entry = restored.admit(listed, listIsFromCopy, nowMillis + WITHHELD_HEARTBEATS * heartbeatMillis)
        when {
            entry == null -> log.write("endpoint.withheld") { put("endpoint", listed.id.value) }
            // The time for which the endpoint was still cold when the copy was made is known already.
            listIsFromCopy && before?.startMillis == entry.startMillis ->
                deployment.endpoints.put(entry.copy(coldMillis = 0), nowMillis)
            else -> deployment.endpoints.put(entry, nowMillis)
        }
        if (entry != null && (before?.draining != entry.draining || before.address != entry.address)) {
            logChange(entry, revision)
        }
    }

    private fun logChange(entry: EndpointEntry, revision: Long) {
        log.write("endpoint.changed") {
            put("endpoint", entry.id.value)
            put("service", entry.service)
            put("address", entry.address.toString())
            put("draining", entry.draining)
            put("coldMillis", entry.coldMillis)
            put("revision", revision)
        }
    }

    private fun positionOf(value: StoredObject) = StorePosition(era ?: 0, value.revision)

    private fun remove(name: String) {
        restored.remove(EndpointId(name))
        if (deployment.endpoints[EndpointId(name)] == null) return
        val gone = deployment.endpoints.remove(EndpointId(name), clock.nowMillis())
        if (!gone) metrics.kept.increment()
        log.write("endpoint.removed") {
            put("endpoint", name)
            put("gone", gone)
        }
    }

    private companion object {
        // The store removes entries after three heartbeats of silence; one more for the time until this is known.
        const val WITHHELD_HEARTBEATS = 4
    }
}

private fun isEarlierStart(listed: EndpointEntry, known: EndpointEntry): Boolean {
    val start = listed.startMillis
    val knownStart = known.startMillis
    return start != null && knownStart != null && start < knownStart
}

/** Tracks the weights version that operators set for each model; a version that is not higher is ignored. */
internal class WeightsListener(
    private val deployment: DeploymentView,
    private val decoder: ContentDecoder,
    private val log: StructuredLog,
    private val clock: Clock,
) : ObjectListener {
    private var confirmedMillis: Long? = null
    private var previouslyConfirmedMillis: Long? = null

    override fun onKnownCurrent(atMillis: Long) {
        previouslyConfirmedMillis = confirmedMillis
        confirmedMillis = clock.nowMillis()
    }

    override fun onList(objects: List<StoredObject>) {
        objects.forEachIsolated(log, ObjectKind.WEIGHTS, ::accept)
    }

    override fun onChange(change: ObjectChange) {
        if (!change.removed) accept(change.value)
    }

    private fun accept(value: StoredObject) {
        decoder.weights(value.content)
            .onSuccess { (model, version) -> accept(model, version, value.revision) }
            .onFailure { failure ->
                log.write("weights.unreadable", always = true) {
                    put("object", value.name)
                    put("reason", failure.message)
                }
            }
    }

    private fun accept(model: ModelId, version: Long, revision: Long) {
        val known = deployment.weights[model]
        if (known != null && known.version >= version) return
        // Objects have no timestamps: the version was set no earlier than the store last responded without it.
        val sinceMillis = previouslyConfirmedMillis ?: (clock.nowMillis() - ASSUMED_AGE_MILLIS)
        deployment.weights += model to TargetWeights(model, version, sinceMillis).replacing(known)
        log.write("weights.named", always = true) {
            put("model", model.value)
            put("version", version)
            put("revision", revision)
        }
    }

    private companion object {
        // Age of the versions in the first list. Leaves one second until requests must not start on older weights; with
        // 3.5 seconds left, some started after the limit.
        const val ASSUMED_AGE_MILLIS = 6_000L
    }
}

/**
 * Tracks the availability zones that are evacuated. When the object store comes back from an older copy that lacks an
 * evacuation, it stays in force for [keepMillis], in which operators write it again.
 */
internal class EvacuationListener(
    private val deployment: DeploymentView,
    private val decoder: ContentDecoder,
    private val log: StructuredLog,
    private val clock: Clock,
    private val keepMillis: Long,
) : ObjectListener {
    private var listed: Set<ZoneId> = emptySet()
    private var keptUntilMillis: Map<ZoneId, Long> = emptyMap()
    private var era: Long? = null

    override fun onKnownCurrent(atMillis: Long) {
        update()
    }

    override fun onEra(era: Long) {
        if (this.era != null) {
            val untilMillis = clock.nowMillis() + keepMillis
            keptUntilMillis = deployment.endpoints.evacuated.associateWith { untilMillis }
        }
        this.era = era
    }

    override fun onList(objects: List<StoredObject>) {
        listed = objects.map { decoder.evacuatedZone(it.name) }.toSet()
        keptUntilMillis -= listed
        update()
    }

    override fun onChange(change: ObjectChange) {
        val zone = decoder.evacuatedZone(change.value.name)
        listed = if (change.removed) listed - zone else listed + zone
        keptUntilMillis -= zone
        update()
    }

    private fun update() {
        keptUntilMillis = keptUntilMillis.filterValues { clock.nowMillis() < it }
        val zones = listed + keptUntilMillis.keys
        if (zones == deployment.endpoints.evacuated) return
        deployment.endpoints.evacuated = zones
        log.write("evacuation.changed", always = true) {
            put("zones", zones.joinToString(",") { it.value })
            put("kept", keptUntilMillis.keys.joinToString(",") { it.value })
        }
    }
}
