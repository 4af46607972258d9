package org.parsleymoor.entry.control

import org.parsleymoor.core.Clock
import org.parsleymoor.peering.PeerMessage
import org.parsleymoor.relay.exchange.ForwardScope
import org.parsleymoor.relay.limits.InstanceList
import org.parsleymoor.relay.limits.KnownInstances

/**
 * The part that the list of registered instances has in the messages between peers: an instance that does not know
 * whether the others count it asks a few of them.
 */
internal class InstanceQuestions(private val known: KnownInstances, private val clock: Clock) {
    private var askedMillis = Long.MIN_VALUE / 2

    /** Returns a question to send to some peers now, or null if none is due. */
    fun question(): PeerMessage.InstanceNews? {
        val nowMillis = clock.nowMillis()
        if (!known.isUnsure(nowMillis) || nowMillis - askedMillis < ASK_INTERVAL_MILLIS) return null
        askedMillis = nowMillis
        return PeerMessage.InstanceNews(ForwardScope.NOBODY.name, wantsInstances = true)
    }

    /** Applies the answer in [message], if it has one, and returns the answer to the question in it, if it asks one. */
    fun receive(message: PeerMessage.InstanceNews): PeerMessage.InstanceNews? {
        val nowMillis = clock.nowMillis()
        if (message.instances.isNotEmpty()) {
            known.tell(InstanceList(message.instances, nowMillis - message.instancesAgeMillis), nowMillis)
        }
        val list = if (message.wantsInstances) known.newest else null
        return list?.let {
            PeerMessage.InstanceNews(
                passOn = ForwardScope.NOBODY.name,
                instances = it.ids,
                instancesAgeMillis = nowMillis - it.listedMillis,
            )
        }
    }

    private companion object {
        const val ASK_INTERVAL_MILLIS = 1_000L
    }
}
