package org.parsleymoor.coordination

import org.parsleymoor.configuration.ConfigurationRoot
import org.parsleymoor.core.InstanceId

/**
 * Brings each accepted configuration into effect on this gateway (I11). It learns of revisions from its watch, from
 * peers' heartbeats and from the operators' program, fetches what it lacks from the side that has it, and applies only
 * whole configurations with a revision above every one that it has seen before. A new instance applies nothing until
 * the platform has answered or every reachable peer has. Not safe for use from several threads.
 */
public class ConfigurationSpread(
    self: InstanceId,
    private val settings: SpreadSettings = SpreadSettings(),
) {
    private val duty = WatchDuty(self, settings)
    private val start = FreshStart(settings)
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
    public fun handle(nowMillis: Long, event: SpreadEvent): List<SpreadAction> {
        start.observe(nowMillis, event)
        val answers = accept(nowMillis, event)
        return answers + duty.due(nowMillis) + applyWhole(nowMillis) + fetch(nowMillis)
    }

    private fun accept(nowMillis: Long, event: SpreadEvent): List<SpreadAction> {
        when (event) {
            is SpreadEvent.Members -> {
                duty.assign(event)
                peers.assign(event.connected)
            }
            is SpreadEvent.PlatformRoot -> event.root?.let { consider(it, peer = false) }
            is SpreadEvent.PlatformSection -> sections.accept(event.hash, event.text)
            is SpreadEvent.WatchHeard -> duty.heard(nowMillis)
            is SpreadEvent.WatchEnded -> duty.ended()
            is SpreadEvent.PeerRevision -> note(event)
            is SpreadEvent.PeerWants -> return listOf(offer(event))
            is SpreadEvent.PeerOffers -> {
                event.root?.let { consider(it, peer = true) }
                event.sections.forEach { (hash, text) -> sections.accept(hash, text) }
            }
            is SpreadEvent.PlatformFailed, is SpreadEvent.Tick -> Unit
        }
        return emptyList()
    }

    private fun note(event: SpreadEvent.PeerRevision) {
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

    private fun offer(event: SpreadEvent.PeerWants): SpreadAction {
        val root = applied?.takeIf { it.revision > event.haveRevision }
        return SpreadAction.OfferPeer(event.peer, root, sections.select(event.sections))
    }

    private fun applyWhole(nowMillis: Long): List<SpreadAction> {
        val root = candidate?.takeIf { it.revision >= seenRevision && sections.missing(it).isEmpty() }
        if (root == null || (applied == null && !start.complete(nowMillis))) return emptyList()
        applied = root
        candidate = null
        sections.retain(listOf(root))
        return listOf(SpreadAction.Apply(root, sections.of(root)))
    }

    /** Asks the side that named the revision, and both when that did not help; a new instance asks every peer. */
    private fun fetch(nowMillis: Long): List<SpreadAction> {
        val haveRevision = maxOf(appliedRevision, candidate?.revision ?: 0)
        val missing = candidate?.let { sections.missing(it) }.orEmpty()
        val wanting = applied == null || seenRevision > haveRevision || missing.isNotEmpty()
        if (!wanting || nowMillis < nextAskMillis) return emptyList()
        val both = askedBefore || haveRevision == 0L
        nextAskMillis = nowMillis + settings.askMillis
        askedBefore = true
        val asked = if (haveRevision == 0L) peers.all() else peers.next(seenRevision).filter { both || fromPeer }
        val platform = if (both || !fromPeer) platformReads(missing) else emptyList()
        return asked.map { SpreadAction.AskPeer(it, haveRevision, missing) } + platform
    }

    private fun platformReads(missing: List<String>): List<SpreadAction> =
        missing.map { SpreadAction.ReadSection(it) }.ifEmpty { listOf(SpreadAction.ReadRoot) }
}
