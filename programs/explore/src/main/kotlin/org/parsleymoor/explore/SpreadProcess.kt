package org.parsleymoor.explore

import org.parsleymoor.configuration.ConfigurationRoot
import org.parsleymoor.coordination.ConfigurationSync
import org.parsleymoor.coordination.SyncAction
import org.parsleymoor.coordination.SyncEvent

/** A gateway's configuration spread, joined to the simulated platform and peers. */
internal class SpreadProcess(private val world: ConfigurationWorld, val host: Host, private val number: Int) {
    private lateinit var spread: ConfigurationSync
    private var watching = false
    private var faultyRevision = 0L
    private var bestSeen = 0L

    init {
        host.onStart = ::start
    }

    val appliedRevision: Long get() = spread.appliedRevision

    /** Reports a change of the root to a gateway that watches it. */
    fun watch(root: ConfigurationRoot) {
        if (watching) world.carry(deliver = host.bound { if (watching) handle(SyncEvent.PlatformRoot(root)) })
    }

    /** Takes an event from a peer or the platform. */
    fun handle(event: SyncEvent) {
        note(event)
        if (event is SyncEvent.PeerRevision && world.isFaulty(SeededFault.HEARTBEAT_REVISION_IGNORED)) return
        spread.handle(host.clockMillis, event).forEach { perform(it) }
        if (event is SyncEvent.PlatformRoot && world.isFaulty(SeededFault.REVISION_IGNORED)) applyBlindly(event)
    }

    private fun start() {
        spread = ConfigurationSync(host.name)
        watching = false
        faultyRevision = 0
        bestSeen = 0
        host.after(1) { handle(members()) }
        host.every(TICK_MILLIS) { handle(SyncEvent.Tick) }
        host.every(HEARTBEAT_MILLIS) { heartbeat() }
    }

    private fun members(): SyncEvent.Members {
        val zone = world.processes.filter { it.number % ZONES == number % ZONES }.map { it.host.name }
        return SyncEvent.Members(zone, world.processes.map { it.host.name }.toSet() - host.name)
    }

    private fun heartbeat() {
        val revision = spread.appliedRevision
        val peers = world.processes.filter { it !== this }
        peers.forEach { world.send(it.host.name, SyncEvent.PeerRevision(host.name, revision)) }
        if (watching && world.roots.up) world.carry(deliver = host.bound { handle(SyncEvent.WatchActivity) })
    }

    private fun perform(action: SyncAction) {
        when (action) {
            is SyncAction.OpenWatch -> watching = true
            is SyncAction.CloseWatch -> watching = false
            is SyncAction.ReadRoot -> read { SyncEvent.PlatformRoot(it) }
            is SyncAction.ReadSection -> read {
                SyncEvent.PlatformSection(action.hash, world.texts.getValue(action.hash))
            }
            is SyncAction.AskPeer ->
                world.send(action.peer, SyncEvent.PeerWants(host.name, action.haveRevision, action.sections))
            is SyncAction.OfferPeer ->
                world.send(action.peer, SyncEvent.PeerOffers(host.name, action.root, action.sections))
            is SyncAction.Apply -> apply(action)
        }
    }

    private fun apply(action: SyncAction.Apply) {
        world.checkApplied(this, faultyRevision, action.root, action.sections)
        if (action.root.revision < bestSeen) {
            world.violate("I11", "no revision below $bestSeen, which was seen", "${action.root.revision}")
        }
        faultyRevision = action.root.revision
    }

    /** The highest revision that any event named, as the checker counts it. */
    private fun note(event: SyncEvent) {
        val revision = when (event) {
            is SyncEvent.PlatformRoot -> event.root?.revision
            is SyncEvent.PeerOffers -> event.root?.revision
            is SyncEvent.PeerRevision -> event.revision
            else -> null
        }
        bestSeen = maxOf(bestSeen, revision ?: 0)
    }

    /** The seeded fault. */
    private fun applyBlindly(event: SyncEvent.PlatformRoot) {
        val root = event.root ?: return
        val sections = root.sections.associate { it.hash to world.texts.getValue(it.hash) }
        if (root.revision != faultyRevision) apply(SyncAction.Apply(root, sections))
    }

    private fun read(event: (ConfigurationRoot?) -> SyncEvent) = world.roots.read(
        host,
        "root",
        onReply = { handle(event(it?.value)) },
        onFailure = { handle(SyncEvent.PlatformFailed) },
    )

    private companion object {
        const val TICK_MILLIS = 500L
        const val HEARTBEAT_MILLIS = 1_000L
        const val ZONES = 2
    }
}
