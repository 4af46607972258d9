package org.parsleymoor.entry.control

import org.parsleymoor.entry.serving.Beliefs
import org.parsleymoor.relay.exchange.PeerUpdate
import org.parsleymoor.relay.fleet.recordUnansweredPoll

/**
 * Takes in [news] of a peer at [nowMillis]; returns false when they do not join what is known of a KV cache store, all
 * of whose contents are needed.
 */
internal fun Beliefs.learn(news: PeerUpdate, nowMillis: Long): Boolean {
    when (news) {
        is PeerUpdate.Load -> learn(news, nowMillis)
        is PeerUpdate.Unresponsive -> endpoints[news.endpoint]?.recordUnansweredPoll(news.atMillis)
        is PeerUpdate.Sent -> if (news.origin != self) endpoints[news.endpoint]?.let { noteSent(it, news.prompt) }
        is PeerUpdate.Ordered -> if (news.holder != self) learn(news, nowMillis)
        is PeerUpdate.CacheStoreEvents -> {
            storeNewsMillis[news.store] = nowMillis
            return stores.applyPeerEvents(news)
        }
        is PeerUpdate.CacheStoreUnreachable -> stores.forget(news.store)
    }
    return true
}

private fun Beliefs.learn(news: PeerUpdate.Load, nowMillis: Long) {
    val state = endpoints[news.endpoint] ?: return
    state.learnLoad(news.load)
    news.weights.forEach { (model, version) -> state.learnWeights(model, version) }
    news.clockMillis?.let { engineClock.updateFromPeer(it, news.load.atMillis, nowMillis) }
}

private fun Beliefs.learn(news: PeerUpdate.Ordered, nowMillis: Long) {
    othersOrderedMillis = nowMillis
    endpoints[news.endpoint]?.orderedUntilMillis = if (news.active) nowMillis + ORDER_MILLIS else nowMillis
}

// An engine counts as ordered for this long after the last word of it: four times the holder's period, and two hubs.
internal const val ORDER_MILLIS = 800L
