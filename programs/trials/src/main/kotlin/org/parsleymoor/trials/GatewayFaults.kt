package org.parsleymoor.trials

/** Ends a gateway with SIGKILL and starts it again. */
internal class GatewayKilled(
    private val fleet: Fleet,
    private val place: GatewayPlace,
    override val lastsMillis: Long,
) : Fault() {
    override val unreachable: Set<String> get() = setOf(place.name)

    override fun begin() = fleet.process(place.name).kill()

    override fun end() {
        fleet.process(place.name).restart()
        place.awaitReady()
    }
}

/** Suspends a gateway with SIGSTOP for longer than a lease lasts, and then lets it go on. */
internal class GatewayPaused(private val fleet: Fleet, private val place: GatewayPlace) : Fault() {
    override val lastsMillis: Long get() = PAUSE_MILLIS
    override val unreachable: Set<String> get() = setOf(place.name)

    override fun begin() = fleet.process(place.name).signal("STOP")

    override fun end() {
        fleet.process(place.name).signal("CONT")
        place.awaitReady()
    }

    private companion object {
        // The default lease lasts 15 s.
        const val PAUSE_MILLIS = 17_000L
    }
}

/** Stops a gateway with SIGTERM and starts it again; it has to finish its requests and exit with status 0. */
internal class PlannedStop(private val fleet: Fleet, private val place: GatewayPlace) : Fault() {
    private var status = 0
    override val unreachable: Set<String> get() = setOf(place.name)

    override fun begin() {
        status = fleet.process(place.name).stop(STOP_MILLIS)
    }

    override fun end() {
        fleet.process(place.name).restart()
        place.awaitReady()
    }

    override fun failures(): List<String> =
        if (status == 0) emptyList() else listOf("I10 expected ${place.name} to exit with 0, found $status")

    private companion object {
        // Longer than the default drain limit of a gateway.
        const val STOP_MILLIS = 40_000L
    }
}
