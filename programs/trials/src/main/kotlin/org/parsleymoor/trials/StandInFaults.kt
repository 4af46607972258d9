package org.parsleymoor.trials

import org.parsleymoor.configuration.Configuration
import org.parsleymoor.configuration.EndpointKind
import org.parsleymoor.configuration.PlacementState

/** Makes the object service close every connection for [lastsMillis]. */
internal class PlatformDown(private val fleet: Fleet, override val lastsMillis: Long) : Fault() {
    override val platformAccepts: Boolean get() = false

    override fun begin() = fleet.setFaults(PLATFORM, "{\"down\":true}")

    override fun end() = fleet.setFaults(PLATFORM, NO_FAULTS)
}

/** Adds a second to every call of the object service. */
internal class PlatformSlow(private val fleet: Fleet) : Fault() {
    override fun begin() = fleet.setFaults(PLATFORM, "{\"delayMillis\":1000}")

    override fun end() = fleet.setFaults(PLATFORM, NO_FAULTS)
}

/** Lets writes to the object service take effect and loses their responses. */
internal class PlatformAnswerLost(private val fleet: Fleet) : Fault() {
    override fun begin() {
        fleet.setFaults(PLATFORM, "{\"loseWriteResponses\":$LOST}")
        // The gateways lose most of them before the experiment writes its own change.
        Thread.sleep(GATEWAYS_WRITE_MILLIS)
    }

    override fun end() = fleet.setFaults(PLATFORM, NO_FAULTS)

    private companion object {
        const val LOST = 30
        const val GATEWAYS_WRITE_MILLIS = 4_000L
    }
}

/** Takes a zone out of service by a configuration change and brings it back. */
internal class ZoneOut(private val changes: Changes, private val zone: String) : Fault() {
    /** When the zone was out, once it is back. */
    var leave: ZoneLeave? = null
        private set
    private var leftMillis = 0L

    override fun begin() {
        leftMillis = changes.write { it.withZone(PlacementState.OUT) }
    }

    override fun end() {
        // Work that arrives after the change back was sent may be right, so the time before the write counts.
        leave = ZoneLeave(zone, leftMillis, backMillis = System.currentTimeMillis())
        changes.write { it.withZone(PlacementState.IN) }
    }

    private fun Configuration.withZone(state: PlacementState) =
        copy(zones = zones.map { if (it.name.value == zone) it.copy(state = state) else it })
}

/** Ends a KV cache store with SIGKILL and starts it again. */
internal class StoreKilled(private val fleet: Fleet, private val store: String) : Fault() {
    override fun begin() = fleet.process(store).kill()

    override fun end() = fleet.process(store).restart()
}

/** Makes every connection and watch that is open at a stand-in stay open and answer nothing more. */
internal class SilentConnections(private val fleet: Fleet) : Fault() {
    override fun begin() {
        Deployment.sites.forEach { fleet.setFaults(it.name, "{\"silenceOpenConnections\":true}") }
        fleet.setFaults(PLATFORM, "{\"silenceOpenConnections\":true,\"silenceOpenWatches\":true}")
    }

    override fun end() {
        Deployment.sites.forEach { fleet.setFaults(it.name, NO_FAULTS) }
        fleet.setFaults(PLATFORM, NO_FAULTS)
    }
}

/** Makes two engines return to cold start without warning, one after the other. */
internal class EngineTurnsCold(private val fleet: Fleet, seed: Long) : Fault() {
    private val engines = Deployment.sites.filter { it.kind == EndpointKind.ENGINE }.map { it.name }
    private val first = engines[Math.floorMod(seed, engines.size)]
    private val second = engines[Math.floorMod(seed + 1, engines.size)]

    override fun begin() {
        fleet.setFaults(first, TURN_COLD)
        Thread.sleep(APART_MILLIS)
        fleet.setFaults(second, TURN_COLD)
    }

    override fun end() = listOf(first, second).forEach { fleet.setFaults(it, NO_FAULTS) }

    private companion object {
        const val APART_MILLIS = 2_000L
        const val TURN_COLD = "{\"turnCold\":true}"
    }
}

private const val PLATFORM = "platform"
private const val NO_FAULTS = "{}"
