package org.parsleymoor.entry.control

import com.github.michaelbull.result.onFailure
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.serialization.json.put
import org.parsleymoor.core.Incarnation
import org.parsleymoor.entry.protocol.ObjectKind
import org.parsleymoor.peering.PeerExchange
import org.parsleymoor.peering.PeerHandler
import org.parsleymoor.peering.PeerIdentity
import org.parsleymoor.peering.PeerLink
import org.parsleymoor.peering.PeerMessage
import org.parsleymoor.peering.PeerNode
import org.parsleymoor.relay.exchange.News
import org.parsleymoor.relay.exchange.PassOn
import org.parsleymoor.relay.fleet.EndpointState
import org.parsleymoor.relay.fleet.SocketAddress

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
    private val log = context.log
    private val clock = context.clock
    private val node = PeerNode(
        identity = PeerIdentity(incarnation, settings.zone, settings.region),
        handler = this,
        dispatcher = dispatcher,
    )
    private val contacts = PeerContacts(context)
    private val teller = NewsTeller(context, contacts, node)
    private val wantedMillis = HashMap<String, Long>()

    /** Listens for peers and exchanges with them until the coroutine is cancelled. */
    suspend fun run(watched: Map<ObjectKind, ObjectWatch>) {
        teller.watches = watched.mapKeys { it.key.name }
        node.start(settings.listen.peers.host, settings.listen.peers.port)
        beliefs.onSent = { endpoint, prompt -> tell(News.Sent(beliefs.self, endpoint, prompt)) }
        while (true) {
            val links = node.connected
            node.keepConnectedTo(contacts.wanted(links))
            teller.speak(links)
            context.ticks.await()
        }
    }

    /** Tells peers with the next message what this instance has learned. */
    fun tell(news: News) {
        teller.tell(news)
    }

    /** Tells peers whether [state] has orders from this instance, so that none of them sends new work there. */
    fun orders(state: EndpointState, active: Boolean) {
        teller.orders(state, active)
    }

    override suspend fun onConnected(link: PeerLink) {
        contacts.heard(link)
        log.write("peer.connected") { put("peer", link.remote.incarnation.instance.value) }
    }

    override suspend fun onDisconnected(link: PeerLink) {
        contacts.ended(link)
        log.write("peer.lost") {
            put("peer", link.remote.incarnation.instance.value)
            put("reason", link.failure?.message)
        }
    }

    override suspend fun onConnectionMessage(link: PeerLink, message: PeerMessage) {
        contacts.heard(link)
        when (message) {
            is PeerMessage.InstanceNews -> take(link, message)
            is PeerMessage.ObjectsWanted -> teller.watches[message.kind]?.offer(message.haveRevision)
                ?.let { send(link, it.toMessage(message.kind)) }
            is PeerMessage.ObjectsOffered -> teller.watches[message.kind]?.accept(message.toOffer())
            is PeerMessage.CacheContentsWanted -> SocketAddress.parse(message.store)
                ?.let { beliefs.stores.contents(it) }
                ?.let { send(link, PeerMessage.CacheContentsOffered(it.digest())) }
            is PeerMessage.CacheContentsOffered -> (message.contents.news() as? News.StoreEvents)
                ?.let { beliefs.stores.listed(it.store, it.epoch, it.to, it.changes) }
            else -> log.write("peer.unexpected") { put("message", message::class.simpleName) }
        }
    }

    override suspend fun onExchange(exchange: PeerExchange, opening: PeerMessage.ExchangeMessage) {
        log.write("peer.unexpected") { put("message", opening::class.simpleName) }
    }

    private suspend fun take(link: PeerLink, message: PeerMessage.InstanceNews) {
        val nowMillis = clock.nowMillis()
        val passOn = PassOn.entries.firstOrNull { it.name == message.passOn } ?: PassOn.NOBODY
        message.news(nowMillis).forEach { news ->
            if (!beliefs.learn(news, nowMillis) && news is News.StoreEvents) {
                want(link, PeerMessage.CacheContentsWanted(news.store.toString()), news.store.toString())
            }
            teller.passOn(news, passOn)
        }
        message.known.forEach { known ->
            val watch = teller.watches[known.kind]
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
        send(link, message)
    }

    private suspend fun send(link: PeerLink, message: PeerMessage) {
        link.send(message).onFailure { failure -> log.write("peer.notSent") { put("reason", failure.message) } }
    }

    private companion object {
        // Several round trips between regions.
        const val WANT_MILLIS = 250L
    }
}
