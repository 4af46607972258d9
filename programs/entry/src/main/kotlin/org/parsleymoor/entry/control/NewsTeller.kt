package org.parsleymoor.entry.control

import org.parsleymoor.peering.ObjectFreshnessDigest
import org.parsleymoor.peering.PeerLink
import org.parsleymoor.peering.PeerMessage
import org.parsleymoor.peering.PeerNode
import org.parsleymoor.relay.exchange.News
import org.parsleymoor.relay.exchange.NewsBox
import org.parsleymoor.relay.exchange.PassOn
import org.parsleymoor.relay.fleet.EndpointState

/** Tells peers over [node] what this instance has learned, and how current its copies of the objects are. */
internal class NewsTeller(
    private val context: PeerContext,
    private val contacts: PeerContacts,
    private val node: PeerNode,
) {
    private val self = context.beliefs.self
    private val tree = context.membership.tree
    private val clock = context.clock
    private val box = NewsBox()
    private val ordered = LinkedHashSet<EndpointState>()
    private var orderedMillis = 0L

    /** The copies of the store's objects, by kind. */
    var watches: Map<String, ObjectWatch> = emptyMap()

    /** Adds what this instance has learned itself to the next message. */
    fun tell(news: News) {
        box.addOwn(news, tree, clock.nowMillis())
    }

    /** Adds what a peer told with [passOn] to the next message, as far as it has to be passed on. */
    fun passOn(news: News, passOn: PassOn) {
        box.passOn(news, passOn)
    }

    /** Tells whether [state] has orders from this instance, so that no other sends new work there. */
    fun orders(state: EndpointState, active: Boolean) {
        if (active) ordered += state else ordered -= state
        state.orderedUntilMillis = if (active) clock.nowMillis() + ORDER_MILLIS else clock.nowMillis()
        tell(News.Ordered(self, state.entry.id, active))
    }

    /** Sends what has been added on those of [links] whose instances should have it. */
    suspend fun speak(links: List<PeerLink>) {
        repeatOrders()
        val byInstance = contacts.fresh(links).associateBy { it.remote.incarnation.instance }
        val recipients = tree.recipients(byInstance.mapValues { it.value.remote.zone }, clock.nowMillis())
        send(PassOn.EVERYWHERE, listOfNotNull(recipients.hub).mapNotNull { byInstance[it] })
        send(PassOn.ZONE, recipients.zones.mapNotNull { byInstance[it] })
        send(PassOn.NOBODY, recipients.last.mapNotNull { byInstance[it] })
        send(emptyList<News>().toMessage(PassOn.NOBODY, clock.nowMillis()), contacts.quiet(links))
    }

    private fun repeatOrders() {
        val nowMillis = clock.nowMillis()
        if (ordered.isEmpty() || nowMillis - orderedMillis < ORDER_PERIOD_MILLIS) return
        orderedMillis = nowMillis
        ordered.toList().forEach { orders(it, active = true) }
    }

    private suspend fun send(passOn: PassOn, links: List<PeerLink>) {
        val news = box.take(passOn)
        if (news.isNotEmpty()) send(news.toMessage(passOn, clock.nowMillis()), links)
    }

    private suspend fun send(message: PeerMessage.InstanceNews, links: List<PeerLink>) {
        contacts.spoken(links)
        node.send(message.copy(known = known()), links)
    }

    private fun known(): List<ObjectFreshnessDigest> {
        val nowMillis = clock.nowMillis()
        return watches.filterValues { it.knownRevision > 0 }.map { (kind, watch) ->
            ObjectFreshnessDigest(kind, watch.changedRevision, nowMillis - watch.currentMillis, watch.isLost)
        }
    }

    private companion object {
        const val ORDER_PERIOD_MILLIS = 200L
    }
}
