package org.parsleymoor.explore

import org.parsleymoor.configuration.ConfigurationRoot
import org.parsleymoor.coordination.ConfigurationSpread
import org.parsleymoor.coordination.SpreadAction
import org.parsleymoor.coordination.SpreadEvent

/** A gateway's configuration spread, joined to the simulated platform and peers. */
internal class SpreadProcess(private val world: ConfigurationWorld, val host: Host, private val number: Int) {
    private lateinit var spread: ConfigurationSpread
    private var watching = false
    private var faultyRevision = 0L
    private var bestSeen = 0L

    init {
        host.onStart = ::start
    }

    val appliedRevision: Long get() = spread.appliedRevision

    /** Reports a change of the root to a gateway that watches it. */
    fun watch(root: ConfigurationRoot) {
        if (watching) world.carry(deliver = host.bound { if (watching) handle(SpreadEvent.PlatformRoot(root)) })
    }

    /** Takes an event from a peer or the platform. */
    fun handle(event: SpreadEvent) {
        note(event)
        if (event is SpreadEvent.PeerRevision && world.isFaulty(SeededFault.HEARTBEAT_REVISION_IGNORED)) return
        spread.handle(host.clockMillis, event).forEach { perform(it) }
        if (event is SpreadEvent.PlatformRoot && world.isFaulty(SeededFault.REVISION_IGNORED)) applyBlindly(event)
    }

    private fun start() {
        spread = ConfigurationSpread(host.name)
        watching = false
        faultyRevision = 0
        bestSeen = 0
        host.after(1) { handle(members()) }
        host.every(TICK_MILLIS) { handle(SpreadEvent.Tick) }
        host.every(HEARTBEAT_MILLIS) { heartbeat() }
    }

    private fun members(): SpreadEvent.Members {
        val zone = world.processes.filter { it.number % ZONES == number % ZONES }.map { it.host.name }
        return SpreadEvent.Members(zone, world.processes.map { it.host.name }.toSet() - host.name)
    }

    private fun heartbeat() {
        val revision = spread.appliedRevision
        val peers = world.processes.filter { it !== this }
        peers.forEach { world.send(it.host.name, SpreadEvent.PeerRevision(host.name, revision)) }
        if (watching && world.roots.up) world.carry(deliver = host.bound { handle(SpreadEvent.WatchHeard) })
    }

    private fun perform(action: SpreadAction) {
        when (action) {
            is SpreadAction.OpenWatch -> watching = true
            is SpreadAction.CloseWatch -> watching = false
            is SpreadAction.ReadRoot -> read { SpreadEvent.PlatformRoot(it) }
            is SpreadAction.ReadSection -> read {
                SpreadEvent.PlatformSection(action.hash, world.texts.getValue(action.hash))
            }
            is SpreadAction.AskPeer ->
                world.send(action.peer, SpreadEvent.PeerWants(host.name, action.haveRevision, action.sections))
            is SpreadAction.OfferPeer ->
                world.send(action.peer, SpreadEvent.PeerOffers(host.name, action.root, action.sections))
            is SpreadAction.Apply -> apply(action)
        }
    }

    private fun apply(action: SpreadAction.Apply) {
        world.checkApplied(this, faultyRevision, action.root, action.sections)
        if (action.root.revision < bestSeen) {
            world.violate("I11", "no revision below $bestSeen, which was seen", "${action.root.revision}")
        }
        faultyRevision = action.root.revision
    }

    /** The highest revision that any event named, as the checker counts it. */
    private fun note(event: SpreadEvent) {
        val revision = when (event) {
            is SpreadEvent.PlatformRoot -> event.root?.revision
            is SpreadEvent.PeerOffers -> event.root?.revision
            is SpreadEvent.PeerRevision -> event.revision
            else -> null
        }
        bestSeen = maxOf(bestSeen, revision ?: 0)
    }

    /** The seeded fault. */
    private fun applyBlindly(event: SpreadEvent.PlatformRoot) {
        val root = event.root ?: return
        val sections = root.sections.associate { it.hash to world.texts.getValue(it.hash) }
        if (root.revision != faultyRevision) apply(SpreadAction.Apply(root, sections))
    }

    private fun read(event: (ConfigurationRoot?) -> SpreadEvent) = world.roots.read(
        host,
        "root",
        onReply = { handle(event(it?.value)) },
        onFailure = { handle(SpreadEvent.PlatformFailed) },
    )

    private companion object {
        const val TICK_MILLIS = 500L
        const val HEARTBEAT_MILLIS = 1_000L
        const val ZONES = 2
    }
}
