package org.parsleymoor.coordination

import org.parsleymoor.configuration.ConfigurationRoot
import org.parsleymoor.core.InstanceId

/**
 * Brings each accepted configuration into effect on this gateway (I11). It learns of revisions from its watch, from
 * peers' heartbeats and from the operators' program, fetches what it lacks from the side that has it, and applies only
 * whole configurations with a revision above every one that it has seen before. A new instance applies nothing until
 * the platform has answered or every reachable peer has. Not safe for use from several threads.
 */
public class ConfigurationSync(
    self: InstanceId,
    private val settings: SyncSettings = SyncSettings(),
) {
    private val duty = RootWatcher(self, settings)
    private val start = StartupWait(settings)
    private val sections = SectionCache()
    private var applied: ConfigurationRoot? = null
    private var candidate: ConfigurationRoot? = null
    private val peers = PeerRevisions()
    private var nextAskMillis = Long.MIN_VALUE
    private var askedBefore = false
    private var fromPeer = true

    /** The revision in effect; 0 before the first, in which case work is refused as not run. */
    public val appliedRevision: Long get() = applied?.revision ?: 0

    /** The highest revision that this gateway has seen anywhere. */
    public var seenRevision: Long = 0
        private set

    /** Applies [event] at [nowMillis] and returns what has to be done next. */
    public fun handle(nowMillis: Long, event: SyncEvent): List<SyncAction> {
        start.observe(nowMillis, event)
        val answers = accept(nowMillis, event)
        return answers + duty.due(nowMillis) + applyWhole(nowMillis) + fetch(nowMillis)
    }

    private fun accept(nowMillis: Long, event: SyncEvent): List<SyncAction> {
        when (event) {
            is SyncEvent.Members -> {
                duty.assign(event)
                peers.assign(event.connectedPeers)
            }
            is SyncEvent.PlatformRoot -> event.root?.let { consider(it, peer = false) }
            is SyncEvent.PlatformSection -> sections.accept(event.hash, event.text)
            is SyncEvent.WatchActivity -> duty.heard(nowMillis)
            is SyncEvent.WatchEnded -> duty.ended()
            is SyncEvent.PeerRevision -> note(event)
            is SyncEvent.PeerWants -> return listOf(offer(event))
            is SyncEvent.PeerOffers -> {
                event.root?.let { consider(it, peer = true) }
                event.sections.forEach { (hash, text) -> sections.accept(hash, text) }
            }
            is SyncEvent.PlatformFailed, is SyncEvent.Tick -> Unit
        }
        return emptyList()
    }

    private fun note(event: SyncEvent.PeerRevision) {
        peers.note(event.peer, event.revision)
        if (event.revision > seenRevision) askAnew(peer = true)
        seenRevision = maxOf(seenRevision, event.revision)
    }

    private fun consider(root: ConfigurationRoot, peer: Boolean) {
        seenRevision = maxOf(seenRevision, root.revision)
        if (root.revision <= maxOf(appliedRevision, candidate?.revision ?: 0)) return
        candidate = root
        askAnew(peer)
    }

    private fun askAnew(peer: Boolean) {
        nextAskMillis = Long.MIN_VALUE
        askedBefore = false
        fromPeer = peer
    }

    private fun offer(event: SyncEvent.PeerWants): SyncAction {
        val root = applied?.takeIf { it.revision > event.haveRevision }
        return SyncAction.OfferPeer(event.peer, root, sections.select(event.sections))
    }

    private fun applyWhole(nowMillis: Long): List<SyncAction> {
        val root = candidate?.takeIf { it.revision >= seenRevision && sections.missing(it).isEmpty() }
        if (root == null || (applied == null && !start.complete(nowMillis))) return emptyList()
        applied = root
        candidate = null
        sections.retain(listOf(root))
        return listOf(SyncAction.Apply(root, sections.of(root)))
    }

    /** Asks the side that named the revision, and both when that did not help; a new instance asks every peer. */
    private fun fetch(nowMillis: Long): List<SyncAction> {
        val haveRevision = maxOf(appliedRevision, candidate?.revision ?: 0)
        val missing = candidate?.let { sections.missing(it) }.orEmpty()
        val wanting = applied == null || seenRevision > haveRevision || missing.isNotEmpty()
        if (!wanting || nowMillis < nextAskMillis) return emptyList()
        val both = askedBefore || haveRevision == 0L
        nextAskMillis = nowMillis + settings.requestIntervalMillis
        askedBefore = true
        val asked = if (haveRevision == 0L) peers.all() else peers.next(seenRevision).filter { both || fromPeer }
        val platform = if (both || !fromPeer) platformReads(missing) else emptyList()
        return asked.map { SyncAction.AskPeer(it, haveRevision, missing) } + platform
    }

    private fun platformReads(missing: List<String>): List<SyncAction> =
        missing.map { SyncAction.ReadSection(it) }.ifEmpty { listOf(SyncAction.ReadRoot) }
}
