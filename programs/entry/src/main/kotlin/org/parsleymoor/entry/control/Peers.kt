package org.parsleymoor.entry.control

import com.github.michaelbull.result.onFailure
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.serialization.json.put
import org.parsleymoor.core.Clock
import org.parsleymoor.core.Incarnation
import org.parsleymoor.core.InstanceId
import org.parsleymoor.entry.EntrySettings
import org.parsleymoor.entry.log.DecisionLog
import org.parsleymoor.entry.protocol.ObjectKind
import org.parsleymoor.entry.serving.Beliefs
import org.parsleymoor.peering.KnownObjectsDigest
import org.parsleymoor.peering.PeerExchange
import org.parsleymoor.peering.PeerHandler
import org.parsleymoor.peering.PeerIdentity
import org.parsleymoor.peering.PeerLink
import org.parsleymoor.peering.PeerMessage
import org.parsleymoor.peering.PeerNode
import org.parsleymoor.relay.exchange.News
import org.parsleymoor.relay.exchange.NewsBox
import org.parsleymoor.relay.exchange.PassOn
import org.parsleymoor.relay.fleet.EndpointState
import org.parsleymoor.relay.fleet.SocketAddress

/** What the control loops tell and ask of peers. */
internal class PeerContext(
    val settings: EntrySettings,
    val beliefs: Beliefs,
    val membership: Membership,
    val ticks: ControlTicks,
    val log: DecisionLog,
    val clock: Clock,
)

/**
 * Exchanges with other instances what each of them reads: the load of engines, the prompts sent to them, the contents
 * of KV cache stores and the objects of the object store. [PeerContext.membership] says who talks to whom.
 */
internal class Peers(
    private val context: PeerContext,
    incarnation: Incarnation,
    dispatcher: CoroutineDispatcher,
) : PeerHandler {
    private val settings = context.settings
    private val beliefs = context.beliefs
    private val tree = context.membership.tree
    private val log = context.log
    private val clock = context.clock
    private val node = PeerNode(
        identity = PeerIdentity(incarnation, settings.zone, settings.region),
        handler = this,
        dispatcher = dispatcher,
    )
    private val box = NewsBox()
    private val ordered = LinkedHashSet<EndpointState>()
    private val heardMillis = HashMap<PeerLink, Long>()
    private val spokenMillis = HashMap<PeerLink, Long>()
    private val wantedMillis = HashMap<String, Long>()
    private var watches: Map<String, ObjectWatch> = emptyMap()
    private var orderedMillis = 0L

    /** Listens for peers and exchanges with them until the coroutine is cancelled. */
    suspend fun run(watched: Map<ObjectKind, ObjectWatch>) {
        watches = watched.mapKeys { it.key.name }
        node.start(settings.listen.peers.host, settings.listen.peers.port)
        beliefs.onSent = { endpoint, prompt -> tell(News.Sent(beliefs.self, endpoint, prompt)) }
        while (true) {
            val links = node.connected
            keepConnected(links)
            tellOrders()
            tellAll(links)
            context.ticks.await()
        }
    }

    /** Tells peers with the next message what this instance has learned. */
    fun tell(news: News) {
        box.addOwn(news, tree, clock.nowMillis())
    }

    /** Tells peers whether [state] has orders from this instance, so that none of them sends new work there. */
    fun orders(state: EndpointState, active: Boolean) {
        if (active) ordered += state else ordered -= state
        state.orderedUntilMillis = if (active) clock.nowMillis() + ORDER_MILLIS else clock.nowMillis()
        tell(News.Ordered(beliefs.self, state.entry.id, active))
    }

    override suspend fun onConnected(link: PeerLink) {
        heardMillis[link] = clock.nowMillis()
        log.write("peer.connected") { put("peer", link.remote.incarnation.instance.value) }
    }

    override suspend fun onEnded(link: PeerLink) {
        heardMillis -= link
        spokenMillis -= link
        log.write("peer.lost") {
            put("peer", link.remote.incarnation.instance.value)
            put("reason", link.failure?.message)
        }
    }

    override suspend fun onControl(link: PeerLink, message: PeerMessage) {
        val nowMillis = clock.nowMillis()
        heardMillis[link] = nowMillis
        when (message) {
            is PeerMessage.InstanceNews -> take(link, message, nowMillis)
            is PeerMessage.ObjectsWanted -> watches[message.kind]?.offer(message.haveRevision)
                ?.let { answer(link, it.toMessage(message.kind)) }
            is PeerMessage.ObjectsOffered -> watches[message.kind]?.accept(message.toOffer())
            is PeerMessage.CacheContentsWanted -> SocketAddress.parse(message.store)?.let { beliefs.stores.contents(it) }
                ?.let { answer(link, PeerMessage.CacheContentsOffered(it.digest())) }
            is PeerMessage.CacheContentsOffered -> (message.contents.news() as? News.StoreEvents)
                ?.let { beliefs.stores.listed(it.store, it.epoch, it.to, it.changes) }
            else -> log.write("peer.unexpected") { put("message", message::class.simpleName) }
        }
    }

    override suspend fun onExchange(exchange: PeerExchange, opening: PeerMessage.OfExchange) {
        log.write("peer.unexpected") { put("message", opening::class.simpleName) }
    }

    private suspend fun take(link: PeerLink, message: PeerMessage.InstanceNews, nowMillis: Long) {
        val passOn = PassOn.entries.firstOrNull { it.name == message.passOn } ?: PassOn.NOBODY
        message.news(nowMillis).forEach { news ->
            if (!beliefs.learn(news, nowMillis) && news is News.StoreEvents) {
                want(link, PeerMessage.CacheContentsWanted(news.store.toString()), news.store.toString())
            }
            box.passOn(news, passOn)
        }
        message.known.forEach { known ->
            val watch = watches[known.kind]
            if (watch != null && watch.told(known.changedRevision, nowMillis - known.ageMillis, known.lost)) {
                want(link, PeerMessage.ObjectsWanted(known.kind, watch.knownRevision), known.kind)
            }
        }
    }

    /** Asks for what is lacking, but not again before an answer can be there. */
    private suspend fun want(link: PeerLink, message: PeerMessage, subject: String) {
        val nowMillis = clock.nowMillis()
        if (nowMillis - (wantedMillis[subject] ?: Long.MIN_VALUE / 2) < WANT_MILLIS) return
        wantedMillis[subject] = nowMillis
        answer(link, message)
    }

    private suspend fun answer(link: PeerLink, message: PeerMessage) {
        spokenMillis[link] = clock.nowMillis()
        link.send(message).onFailure { failure -> log.write("peer.notSent") { put("reason", failure.message) } }
    }

    private fun keepConnected(links: List<PeerLink>) {
        val connected = links.map { it.remote.incarnation.instance }.toSet()
        val wanted = tree.neighbours(connected, clock.nowMillis()).associate { it.id to it.address }
        // Without the object store an instance that starts knows nobody; the seeds tell it what they know.
        val seeds = if (beliefs.members != null) emptyMap() else unconnectedSeeds(links)
        node.keepConnectedTo(wanted + seeds)
    }

    private fun unconnectedSeeds(links: List<PeerLink>): Map<InstanceId, String> {
        val connected = links.map { it.remote.address }.toSet()
        return settings.seeds.map { it.toString() }
            .filter { it !in connected && it != settings.listen.peers.toString() }
            .associateBy { InstanceId(it) }
    }

    private fun tellOrders() {
        val nowMillis = clock.nowMillis()
        if (ordered.isEmpty() || nowMillis - orderedMillis < ORDER_PERIOD_MILLIS) return
        orderedMillis = nowMillis
        ordered.forEach { state ->
            state.orderedUntilMillis = nowMillis + ORDER_MILLIS
            tell(News.Ordered(beliefs.self, state.entry.id, active = true))
        }
    }

    private suspend fun tellAll(links: List<PeerLink>) {
        val nowMillis = clock.nowMillis()
        val fresh = links.filter { nowMillis - (heardMillis[it] ?: nowMillis) < FRESH_MILLIS }.ifEmpty { links }
        val byInstance = fresh.associateBy { it.remote.incarnation.instance }
        val recipients = tree.recipients(byInstance.mapValues { it.value.remote.zone }, nowMillis)
        send(PassOn.EVERYWHERE, listOfNotNull(recipients.hub).mapNotNull { byInstance[it] })
        send(PassOn.ZONE, recipients.zones.mapNotNull { byInstance[it] })
        send(PassOn.NOBODY, recipients.last.mapNotNull { byInstance[it] })
        val quiet = links.filter { nowMillis - (spokenMillis[it] ?: 0) >= QUIET_MILLIS }
        speak(emptyList<News>().toMessage(PassOn.NOBODY, nowMillis), quiet)
    }

    private suspend fun send(passOn: PassOn, links: List<PeerLink>) {
        val news = box.take(passOn)
        if (news.isNotEmpty()) speak(news.toMessage(passOn, clock.nowMillis()), links)
    }

    private suspend fun speak(message: PeerMessage.InstanceNews, links: List<PeerLink>) {
        val nowMillis = clock.nowMillis()
        links.forEach { spokenMillis[it] = nowMillis }
        node.send(message.copy(known = known(nowMillis)), links)
    }

    private fun known(nowMillis: Long): List<KnownObjectsDigest> =
        watches.filterValues { it.knownRevision > 0 }.map { (kind, watch) ->
            KnownObjectsDigest(kind, watch.changedRevision, nowMillis - watch.currentMillis, watch.isLost)
        }

    private companion object {
        // Half of the time after which an instance that is told of the store's objects begins to ask for itself.
        const val QUIET_MILLIS = 450L

        // A hub that has been silent for this long is passed over: it speaks at least every [QUIET_MILLIS].
        const val FRESH_MILLIS = 1_200L

        // Several round trips between regions.
        const val WANT_MILLIS = 250L
        const val ORDER_PERIOD_MILLIS = 200L
    }
}
