package org.parsleymoor.entry.control

import com.github.michaelbull.result.onFailure
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.delay
import kotlinx.serialization.json.put
import org.parsleymoor.core.Clock
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.Incarnation
import org.parsleymoor.entry.EntrySettings
import org.parsleymoor.entry.log.DecisionLog
import org.parsleymoor.entry.protocol.ObjectKind
import org.parsleymoor.entry.serving.Beliefs
import org.parsleymoor.peering.PeerExchange
import org.parsleymoor.peering.PeerHandler
import org.parsleymoor.peering.PeerIdentity
import org.parsleymoor.peering.PeerLink
import org.parsleymoor.peering.PeerMessage
import org.parsleymoor.peering.PeerNode
import org.parsleymoor.peering.SentPromptDigest
import org.parsleymoor.relay.fleet.EndpointState
import org.parsleymoor.relay.fleet.EngineLoad
import org.parsleymoor.relay.fleet.SentPrompt

/**
 * Exchanges with other instances what each of them reads: the load of engines, and the objects of the store for an
 * instance that the store does not answer.
 */
internal class Peers(
    private val settings: EntrySettings,
    private val beliefs: Beliefs,
    incarnation: Incarnation,
    dispatcher: CoroutineDispatcher,
    private val log: DecisionLog,
    private val clock: Clock,
) : PeerHandler {
    private val node = PeerNode(
        identity = PeerIdentity(incarnation, settings.zone, settings.region),
        handler = this,
        dispatcher = dispatcher,
    )
    private val loads = HashMap<EndpointState, EngineLoad>()
    private var watches: Map<String, ObjectWatch> = emptyMap()
    private val ordered = LinkedHashSet<EndpointState>()
    private val sent = ArrayList<Pair<EndpointId, SentPrompt>>()
    private var spokenMillis = 0L
    private var askedMillis = 0L

    /** Listens for peers and exchanges with them until the coroutine is cancelled. */
    suspend fun run(watched: Map<ObjectKind, ObjectWatch>) {
        watches = watched.mapKeys { it.key.name }
        node.start(settings.listen.peers.host, settings.listen.peers.port)
        beliefs.onSent = { endpoint, prompt -> sent += endpoint to prompt }
        while (true) {
            node.keepConnectedTo(neighbours(beliefs.self, beliefs.memberAddresses))
            tellLoads()
            askForObjects()
            delay(TICK_MILLIS)
        }
    }

    /** Tells peers whether [state] has orders from this instance, so that none of them sends new work there. */
    fun orders(state: EndpointState, active: Boolean) {
        if (active) ordered += state else ordered -= state
        state.orderedUntilMillis = if (active) clock.nowMillis() + ORDER_MILLIS else clock.nowMillis()
    }

    /** Tells peers with the next message that [state] has [load] and which weights it has. */
    fun tell(state: EndpointState, load: EngineLoad) {
        loads[state] = load
    }

    override suspend fun onConnected(link: PeerLink) {
        log.write("peer.connected") { put("peer", link.remote.incarnation.instance.value) }
    }

    override suspend fun onEnded(link: PeerLink) {
        log.write("peer.lost") {
            put("peer", link.remote.incarnation.instance.value)
            put("reason", link.failure?.message)
        }
    }

    override suspend fun onControl(link: PeerLink, message: PeerMessage) {
        when (message) {
            is PeerMessage.EngineLoads -> {
                message.reports.forEach { beliefs.learn(it, clock.nowMillis()) }
                message.sent.forEach { beliefs.learn(it, clock.nowMillis()) }
                val untilMillis = clock.nowMillis() + ORDER_MILLIS
                message.ordered.forEach { beliefs.endpoints[it]?.orderedUntilMillis = untilMillis }
            }
            is PeerMessage.ObjectsWanted -> offer(link, message)
            is PeerMessage.ObjectsOffered -> watches[message.kind]?.accept(message.toList())
            else -> log.write("peer.unexpected") { put("message", message::class.simpleName) }
        }
    }

    override suspend fun onExchange(exchange: PeerExchange, opening: PeerMessage.OfExchange) {
        log.write("peer.unexpected") { put("message", opening::class.simpleName) }
    }

    private suspend fun tellLoads() {
        val nowMillis = clock.nowMillis()
        ordered.forEach { it.orderedUntilMillis = nowMillis + ORDER_MILLIS }
        val idle = loads.isEmpty() && sent.isEmpty() && ordered.isEmpty()
        if (idle && nowMillis - spokenMillis < QUIET_MILLIS) return
        val reports = loads.map { (state, load) -> load.digest(state.entry.id, state.allWeights, nowMillis) }
        val prompts = sent.map { (endpoint, prompt) ->
            SentPromptDigest(
                endpoint = endpoint,
                tokens = prompt.tokens,
                tokensToRead = prompt.tokensToRead,
                context = prompt.context.hash,
                ageMillis = nowMillis - prompt.atMillis,
            )
        }
        loads.clear()
        sent.clear()
        spokenMillis = nowMillis
        node.broadcast(PeerMessage.EngineLoads(reports, prompts, ordered.map { it.entry.id }))
    }

    private suspend fun askForObjects() {
        if (clock.nowMillis() - askedMillis < ASK_MILLIS) return
        askedMillis = clock.nowMillis()
        watches.filterValues { it.isLost }.forEach { (kind, watch) ->
            node.broadcast(PeerMessage.ObjectsWanted(kind, watch.knownRevision))
        }
    }

    private suspend fun offer(link: PeerLink, wanted: PeerMessage.ObjectsWanted) {
        val list = watches[wanted.kind]?.offer(wanted.haveRevision) ?: return
        link.send(list.toOffer(wanted.kind)).onFailure { failure ->
            log.write("peer.notOffered") { put("reason", failure.message) }
        }
    }

    private companion object {
        // In this time some three requests arrive at all instances, which choose without knowing of each other.
        const val TICK_MILLIS = 60L

        // An instance whose store is gone asks at this rate.
        const val ASK_MILLIS = 250L

        // A peer takes a connection for silent after three seconds.
        const val QUIET_MILLIS = 900L

        // An engine counts as ordered for this long after the last word of it, several messages of the holder.
        const val ORDER_MILLIS = 250L
    }
}
