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
import org.parsleymoor.relay.exchange.ForwardScope
import org.parsleymoor.relay.exchange.PeerUpdate
import org.parsleymoor.relay.fleet.EndpointState
import org.parsleymoor.relay.fleet.SocketAddress

/**
 * Exchanges state with other instances: the load of engines, the prompts sent to them, the contents of KV cache stores
 * and the objects of the object store. [PeerContext.membership] decides which instances are connected.
 */
internal class Peers(
    private val context: PeerContext,
    incarnation: Incarnation,
    dispatcher: CoroutineDispatcher,
) : PeerHandler {
    private val settings = context.settings
    private val deployment = context.deployment
    private val log = context.log
    private val clock = context.clock
    private val node = PeerNode(
        identity = PeerIdentity(incarnation, settings.zone, settings.region),
        handler = this,
        dispatcher = dispatcher,
    )
    private val connections = PeerConnections(context)
    private val sender = PeerUpdateSender(context, connections, node)
    private val instances = InstanceQuestions(deployment.knownInstances, clock)
    private var copies: PeerCopies? = null
    private val requestedMillis = HashMap<String, Long>()
    private var listening = false

    /** Listens for peers and exchanges messages with them until the coroutine is cancelled. */
    suspend fun run(watches: Map<ObjectKind, ObjectWatch>) {
        copies = PeerCopies(watches.mapKeys { it.key.name }, context.era, clock)
        sender.copies = copies
        // A second start after a failure must not bind the address again.
        if (!listening) node.start(settings.listen.peers.host, settings.listen.peers.port)
        listening = true
        deployment.announce = ::publish
        while (true) {
            val links = node.connected
            node.keepConnectedTo(connections.desired(links))
            sender.sendPending(links)
            if (links.isNotEmpty()) {
                instances.question()?.let { question ->
                    node.send(question, links.sortedBy { it.remote.zone != settings.zone }.take(ASKED_PEERS))
                }
            }
            context.ticks.await()
        }
    }

    /** Queues an update of this instance for the next message to peers. */
    fun publish(update: PeerUpdate) {
        sender.publish(update)
    }

    /** Announces to peers whether this instance gives orders to [state], so that they send no new requests there. */
    fun announceOrders(state: EndpointState, active: Boolean) {
        sender.announceOrders(state, active)
    }

    override suspend fun onConnected(link: PeerLink) {
        connections.recordReceived(link)
        log.write("peer.connected") { put("peer", link.remote.incarnation.instance.value) }
    }

    override suspend fun onDisconnected(link: PeerLink) {
        connections.forget(link)
        log.write("peer.lost") {
            put("peer", link.remote.incarnation.instance.value)
            put("reason", link.failure?.message)
        }
    }

    override suspend fun onConnectionMessage(link: PeerLink, message: PeerMessage) {
        connections.recordReceived(link)
        when (message) {
            is PeerMessage.InstanceNews -> receive(link, message)
            is PeerMessage.ObjectsWanted -> copies?.offer(message)?.let { send(link, it) }
            is PeerMessage.ObjectsOffered -> copies?.accept(message, link.remote.incarnation.instance.value)
            is PeerMessage.CacheContentsWanted -> SocketAddress.parse(message.store)
                ?.let { deployment.stores.contents(it) }
                ?.let { send(link, PeerMessage.CacheContentsOffered(it.toDigest())) }
            is PeerMessage.CacheContentsOffered -> (message.contents.toUpdate() as? PeerUpdate.CacheStoreEvents)
                ?.let { deployment.stores.replaceContents(it.store, it.epoch, it.to, it.changes) }
            else -> log.write("peer.unexpected") { put("message", message::class.simpleName) }
        }
    }

    override suspend fun onExchange(exchange: PeerExchange, opening: PeerMessage.ExchangeMessage) {
        log.write("peer.unexpected") { put("message", opening::class.simpleName) }
    }

    private suspend fun receive(link: PeerLink, message: PeerMessage.InstanceNews) {
        instances.receive(message)?.let { send(link, it) }
        val nowMillis = clock.nowMillis()
        val passOn = ForwardScope.entries.firstOrNull { it.name == message.passOn } ?: ForwardScope.NOBODY
        message.toUpdates(nowMillis).forEach { update ->
            if (!deployment.applyPeerUpdate(update, nowMillis) && update is PeerUpdate.CacheStoreEvents) {
                request(link, PeerMessage.CacheContentsWanted(update.store.toString()), update.store.toString())
            }
            sender.passOn(update, passOn)
        }
        copies?.receiveStatus(message, link.remote.incarnation.instance.value)?.forEach { wanted ->
            request(link, wanted, wanted.kind)
        }
    }

    /** Requests missing data, but does not repeat a request for [subject] before the response can have arrived. */
    private suspend fun request(link: PeerLink, message: PeerMessage, subject: String) {
        val nowMillis = clock.nowMillis()
        if (nowMillis - (requestedMillis[subject] ?: Long.MIN_VALUE / 2) < REQUEST_INTERVAL_MILLIS) return
        requestedMillis[subject] = nowMillis
        send(link, message)
    }

    private suspend fun send(link: PeerLink, message: PeerMessage) {
        link.send(message).onFailure { failure -> log.write("peer.notSent") { put("reason", failure.message) } }
    }

    private companion object {
        // Several round trips between regions.
        const val REQUEST_INTERVAL_MILLIS = 250L

        // One of them may be silent, and another not have the list either.
        const val ASKED_PEERS = 3
    }
}
