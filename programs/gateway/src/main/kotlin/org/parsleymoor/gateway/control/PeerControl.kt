package org.parsleymoor.gateway.control

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.parsleymoor.clients.PlatformClient
import org.parsleymoor.configuration.ConfigurationRoot
import org.parsleymoor.coordination.MembershipEvent
import org.parsleymoor.coordination.SyncEvent
import org.parsleymoor.core.Clock
import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.RegionId
import org.parsleymoor.gateway.ConfigurationHolder
import org.parsleymoor.gateway.ListenSettings
import org.parsleymoor.gateway.forwarding.ForwardReceiver
import org.parsleymoor.peering.PeerExchange
import org.parsleymoor.peering.PeerFailure
import org.parsleymoor.peering.PeerHandler
import org.parsleymoor.peering.PeerIdentity
import org.parsleymoor.peering.PeerLink
import org.parsleymoor.peering.PeerMessage
import org.parsleymoor.peering.PeerNode
import org.parsleymoor.peering.refuse

/**
 * Manages this gateway's connections to the others: keeps its neighbours connected, exchanges configuration revisions
 * and serves forwarded completions and calls.
 */
internal class PeerControl(
    identity: PeerIdentity,
    platform: PlatformClient?,
    private val holder: ConfigurationHolder,
    private val receiver: ForwardReceiver,
    clock: Clock,
    private val scope: CoroutineScope,
) : PeerHandler, PeerSender {
    private val node = PeerNode(identity, this)

    /** The known gateways and their state. */
    val members: GatewayMembers = GatewayMembers(identity, platform, holder, clock) { node.keepConnectedTo(it) }

    /** Connects to gateways by instance or process. */
    val directory: PeerDirectory = PeerDirectory(identity.incarnation, node, members, clock)

    @Volatile
    private var configuration: ConfigurationControl? = null

    @Volatile
    private var calls: CallReceiver? = null

    @Volatile
    private var leaving = false

    /** Binds the peer socket and starts the periodic tasks; returns the bound port. */
    suspend fun start(listen: ListenSettings, control: ConfigurationControl, receiver: CallReceiver): Int {
        configuration = control
        calls = receiver
        val port = node.start(listen.host, listen.port)
        members.start("${listen.host}:$port")
        scope.launch { repeatEvery(HEARTBEAT_INTERVAL_MILLIS) { sendHeartbeat() } }
        scope.launch { repeatEvery(LIST_INTERVAL_MILLIS) { members.readList() } }
        return port
    }

    /** Tells the neighbours that this gateway is leaving. */
    suspend fun leave() {
        leaving = true
        node.broadcast(heartbeat())
    }

    fun close() {
        node.close()
    }

    /** Connects to a gateway of [region]; the same [key] selects the same gateway while the membership is unchanged. */
    suspend fun connect(region: RegionId, key: String): Result<PeerLink, PeerFailure> {
        var outcome: Result<PeerLink, PeerFailure> =
            Err(PeerFailure.NotConnected("a gateway of region $region", "none is known"))
        for (member in members.contenders(region, key)) {
            outcome = node.connect(member.instance, member.peerAddress)
            if (outcome.isOk) return outcome
        }
        return outcome
    }

    override suspend fun send(peer: InstanceId, message: PeerMessage) {
        node.connected.firstOrNull { it.remote.incarnation.instance == peer }?.send(message)
    }

    override suspend fun onConnected(link: PeerLink) {
        members.recordHeartbeat(link.remote, leaving = false)
        link.send(heartbeat())
    }

    override suspend fun onConnectionMessage(link: PeerLink, message: PeerMessage) {
        val peer = link.remote.incarnation.instance
        when (message) {
            is PeerMessage.Heartbeat -> {
                members.recordHeartbeat(link.remote, message.leaving)
                configuration?.handle(SyncEvent.PeerRevision(peer, message.configurationRevision))
            }
            is PeerMessage.ConfigurationWanted ->
                configuration?.handle(SyncEvent.PeerWants(peer, message.haveRevision, message.sections))
            is PeerMessage.ConfigurationOffered -> {
                val root = ConfigurationRoot.parse(message.root).get()
                configuration?.handle(SyncEvent.PeerOffers(peer, root, message.sections))
            }
            is PeerMessage.Hello, is PeerMessage.CacheDigest, is PeerMessage.ExchangeMessage,
            is PeerMessage.InstanceNews, is PeerMessage.ObjectsWanted, is PeerMessage.ObjectsOffered,
            is PeerMessage.CacheContentsWanted, is PeerMessage.CacheContentsOffered,
            ->
                logger.debug { "$peer: ${message::class.simpleName} is not handled by gateways" }
        }
    }

    override suspend fun onExchange(exchange: PeerExchange, opening: PeerMessage.ExchangeMessage) {
        val served = calls?.serve(exchange, opening) ?: false
        when {
            served -> Unit
            opening is PeerMessage.Forward -> receiver.serve(exchange, opening)
            else -> {
                val detail = "expected a call or a completion, found ${opening::class.simpleName}"
                exchange.refuse("BAD_REQUEST", detail)
            }
        }
    }

    private suspend fun sendHeartbeat() {
        node.broadcast(heartbeat())
        members.handle(MembershipEvent.Tick)
        val connected = node.connected.map { it.remote.incarnation.instance }.toSet()
        configuration?.handle(SyncEvent.Members(members.instancesOfZone(), connected))
    }

    private fun heartbeat() = PeerMessage.Heartbeat(holder.revision, leaving = leaving)

    private companion object {
        val logger = KotlinLogging.logger {}
        const val HEARTBEAT_INTERVAL_MILLIS = 1_000L
        const val LIST_INTERVAL_MILLIS = 2_000L
    }
}

private suspend fun repeatEvery(intervalMillis: Long, work: suspend () -> Unit) {
    while (true) {
        work()
        delay(intervalMillis)
    }
}
