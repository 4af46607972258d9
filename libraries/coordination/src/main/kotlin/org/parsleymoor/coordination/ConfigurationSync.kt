package org.parsleymoor.coordination

import org.parsleymoor.configuration.ConfigurationRoot
import org.parsleymoor.core.InstanceId

/**
 * Brings each accepted configuration into effect on this gateway (invariant I11). It learns of new revisions from its
 * watch, from heartbeats of peers and from the operators' program, and fetches missing parts from the side that has
 * them. It applies a configuration only if it is complete and no higher revision has been seen. A new instance applies
 * nothing until the platform has answered or the startup wait is over. Not thread-safe.
 */
public class ConfigurationSync(
    self: InstanceId,
    private val settings: SyncSettings = SyncSettings(),
) {
    private val watcher = RootWatcher(self, settings)
    private val startupWait = StartupWait(settings)
    private val sections = SectionCache()
    private var applied: ConfigurationRoot? = null
    private var candidate: ConfigurationRoot? = null
    private val peers = PeerRevisions()
    private var nextRequestMillis = Long.MIN_VALUE
    private var requestedBefore = false

    // Whether a peer announced the newest revision, so that peers are asked before the platform.
    private var peerFirst = true

    /** The revision in effect; 0 before the first, while requests are refused as not run. */
    public val appliedRevision: Long get() = applied?.revision ?: 0

    /** The highest revision that this gateway has learned of from any source. */
    public var seenRevision: Long = 0
        private set

    /** Applies [event] at [nowMillis] and returns what to do next. */
    public fun handle(nowMillis: Long, event: SyncEvent): List<SyncAction> {
        startupWait.observe(nowMillis, event)
        val answers = accept(nowMillis, event)
        return answers + watcher.dueActions(nowMillis) + applyCandidate(nowMillis) + fetchMissing(nowMillis)
    }

    private fun accept(nowMillis: Long, event: SyncEvent): List<SyncAction> {
        when (event) {
            is SyncEvent.Members -> {
                watcher.chooseWatchers(event)
                peers.setConnected(event.connectedPeers)
            }
            is SyncEvent.PlatformRoot -> event.root?.let { considerRoot(it, peer = false) }
            is SyncEvent.PlatformSection -> sections.accept(event.hash, event.text)
            is SyncEvent.WatchActivity -> watcher.recordActivity(nowMillis)
            is SyncEvent.WatchEnded -> watcher.recordEnd()
            is SyncEvent.PeerRevision -> recordRevision(event)
            is SyncEvent.PeerWants -> return listOf(answerPeer(event))
            is SyncEvent.PeerOffers -> {
                event.root?.let { considerRoot(it, peer = true) }
                event.sections.forEach { (hash, text) -> sections.accept(hash, text) }
            }
            is SyncEvent.PlatformFailed, is SyncEvent.Tick -> Unit
        }
        return emptyList()
    }

    private fun recordRevision(event: SyncEvent.PeerRevision) {
        peers.record(event.peer, event.revision)
        if (event.revision > seenRevision) restartRequests(peer = true)
        seenRevision = maxOf(seenRevision, event.revision)
    }

    private fun considerRoot(root: ConfigurationRoot, peer: Boolean) {
        seenRevision = maxOf(seenRevision, root.revision)
        if (root.revision <= maxOf(appliedRevision, candidate?.revision ?: 0)) return
        candidate = root
        restartRequests(peer)
    }

    private fun restartRequests(peer: Boolean) {
        nextRequestMillis = Long.MIN_VALUE
        requestedBefore = false
        peerFirst = peer
    }

    private fun answerPeer(event: SyncEvent.PeerWants): SyncAction {
        val root = applied?.takeIf { it.revision > event.haveRevision }
        return SyncAction.OfferPeer(event.peer, root, sections.select(event.sections))
    }

    private fun applyCandidate(nowMillis: Long): List<SyncAction> {
        val root = candidate?.takeIf { it.revision >= seenRevision && sections.missing(it).isEmpty() }
        if (root == null || (applied == null && !startupWait.isOver(nowMillis))) return emptyList()
        applied = root
        candidate = null
        sections.retain(listOf(root))
        return listOf(SyncAction.Apply(root, sections.textsOf(root)))
    }

    /** Asks the side that announced the revision, then both sides; a new instance asks the platform and every peer. */
    private fun fetchMissing(nowMillis: Long): List<SyncAction> {
        val haveRevision = maxOf(appliedRevision, candidate?.revision ?: 0)
        val missing = candidate?.let { sections.missing(it) }.orEmpty()
        val incomplete = applied == null || seenRevision > haveRevision || missing.isNotEmpty()
        if (!incomplete || nowMillis < nextRequestMillis) return emptyList()
        val both = requestedBefore || haveRevision == 0L
        nextRequestMillis = nowMillis + settings.requestIntervalMillis
        requestedBefore = true
        val asked = if (haveRevision == 0L) peers.all() else peers.pick(seenRevision).filter { both || peerFirst }
        val platform = if (both || !peerFirst) platformReads(missing) else emptyList()
        return asked.map { SyncAction.AskPeer(it, haveRevision, missing) } + platform
    }

    private fun platformReads(missing: List<String>): List<SyncAction> =
        missing.map { SyncAction.ReadSection(it) }.ifEmpty { listOf(SyncAction.ReadRoot) }
}
