package org.parsleymoor.trials

/** A fault of an experiment. */
internal sealed class Fault {
    /** How long the fault lasts after it has been brought about. */
    open val lastsMillis: Long get() = LASTS_MILLIS

    /** Gateways that serve nobody while the fault lasts. */
    open val unreachable: Set<String> get() = emptySet()

    /** Whether the configuration can be changed while the fault lasts. */
    open val platformAccepts: Boolean get() = true

    /** Brings the fault about. */
    abstract fun begin()

    /** Takes the fault back and returns when its part serves again. */
    abstract fun end()

    /** What went against the fault's own promises, one line each. */
    open fun failures(): List<String> = emptyList()

    protected companion object {
        const val LASTS_MILLIS = 10_000L
    }
}

/** Ends a gateway with SIGKILL and starts it again. */
internal class GatewayKilled(private val fleet: Fleet, private val place: GatewayPlace) : Fault() {
    override val lastsMillis: Long get() = 30_000
    override val unreachable: Set<String> get() = setOf(place.name)

    override fun begin() = fleet.process(place.name).kill()

    override fun end() {
        fleet.process(place.name).restart()
        place.awaitReady()
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
