package org.parsleymoor.entry.control

import org.parsleymoor.peering.PeerLink
import org.parsleymoor.peering.PeerMessage
import org.parsleymoor.peering.PeerNode
import org.parsleymoor.relay.exchange.ForwardScope
import org.parsleymoor.relay.exchange.PeerUpdate
import org.parsleymoor.relay.exchange.PeerUpdateQueue
import org.parsleymoor.relay.fleet.EndpointState

/** Sends peers, over [node], the updates of this instance and the status of its copies of the stored objects. */
internal class PeerUpdateSender(
    private val context: PeerContext,
    private val connections: PeerConnections,
    private val node: PeerNode,
) {
    private val self = context.deployment.self
    private val tree = context.membership.tree
    private val clock = context.clock
    private val queue = PeerUpdateQueue()
    private val orderedEndpoints = LinkedHashSet<EndpointState>()
    private var announcedMillis = 0L
    private var repeatedMillis = 0L

    /** The copies of the stored objects, whose status is sent with each message, or null before they are known. */
    var copies: PeerCopies? = null

    /** Queues an update that originates from this instance for the next message. */
    fun publish(update: PeerUpdate) {
        queue.addLocal(update, tree, clock.nowMillis())
    }

    /** Queues an update that a peer sent with [passOn], if it has to be forwarded. */
    fun passOn(update: PeerUpdate, passOn: ForwardScope) {
        queue.passOn(update, passOn)
    }

    /** Announces whether this instance gives orders to [state], so that no other instance sends new requests there. */
    fun announceOrders(state: EndpointState, active: Boolean) {
        if (active) orderedEndpoints += state else orderedEndpoints -= state
        state.orderedUntilMillis = if (active) clock.nowMillis() + ORDERED_EXPIRY_MILLIS else clock.nowMillis()
        publish(PeerUpdate.Ordered(self, state.entry.id, active))
    }

    /** Sends the queued updates on those of [links] whose instances should receive them. */
    suspend fun sendPending(links: List<PeerLink>) {
        repeatAnnouncements()
        val byInstance = connections.responsive(links).associateBy { it.remote.incarnation.instance }
        val recipients = tree.recipients(byInstance.mapValues { it.value.remote.zone }, clock.nowMillis())
        send(ForwardScope.EVERYWHERE, listOfNotNull(recipients.hub).mapNotNull { byInstance[it] })
        send(ForwardScope.ZONE, recipients.zones.mapNotNull { byInstance[it] })
        send(ForwardScope.NOBODY, recipients.last.mapNotNull { byInstance[it] })
        send(emptyList<PeerUpdate>().toMessage(ForwardScope.NOBODY, clock.nowMillis()), connections.idle(links))
    }

    private fun repeatAnnouncements() {
        val nowMillis = clock.nowMillis()
        context.deployment.endpoints.limits.refresh(context.deployment.endpoints.all, nowMillis)
        if (nowMillis - repeatedMillis >= REPEAT_PERIOD_MILLIS) {
            repeatedMillis = nowMillis
            context.deployment.quarantine.contents.forEach { publish(PeerUpdate.Quarantined(it)) }
            context.deployment.endpoints.leavingListed.filterNot { it.entry.draining }
                .forEach { publish(PeerUpdate.Leaving(it.incarnation)) }
            context.deployment.endpoints.limits.named.toRepeat(nowMillis).forEach { publish(PeerUpdate.Limited(it)) }
            context.deployment.announceDemands(nowMillis)
        }
        if (orderedEndpoints.isEmpty() || nowMillis - announcedMillis < ANNOUNCEMENT_PERIOD_MILLIS) return
        announcedMillis = nowMillis
        orderedEndpoints.toList().forEach { announceOrders(it, active = true) }
    }

    private suspend fun send(passOn: ForwardScope, links: List<PeerLink>) {
        val updates = queue.take(passOn)
        if (updates.isNotEmpty()) send(updates.toMessage(passOn, clock.nowMillis()), links)
    }

    private suspend fun send(message: PeerMessage.InstanceNews, links: List<PeerLink>) {
        connections.recordSent(links)
        node.send(copies?.addStatus(message) ?: message, links)
    }

    private companion object {
        const val ANNOUNCEMENT_PERIOD_MILLIS = 200L

        // An instance that starts or was cut off learns within this time which parts are quarantined, and which
        // endpoints leave or name a limit.
        const val REPEAT_PERIOD_MILLIS = 1_000L
    }
}
