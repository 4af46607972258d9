package org.parsleymoor.entry.control

import org.parsleymoor.entry.serving.Beliefs
import org.parsleymoor.relay.exchange.News
import org.parsleymoor.relay.fleet.fellSilent

/**
 * Takes in [news] of a peer at [nowMillis]; returns false when they do not join what is known of a KV cache store, all
 * of whose contents are needed.
 */
internal fun Beliefs.applyPeerUpdate(news: News, nowMillis: Long): Boolean {
    when (news) {
        is News.Load -> applyPeerUpdate(news, nowMillis)
        is News.Silent -> endpoints[news.endpoint]?.fellSilent(news.atMillis)
        is News.Sent -> if (news.origin != self) endpoints[news.endpoint]?.let { noteSent(it, news.prompt) }
        is News.Ordered -> if (news.holder != self) applyPeerUpdate(news, nowMillis)
        is News.StoreEvents -> {
            storeNewsMillis[news.store] = nowMillis
            return stores.joins(news)
        }
        is News.StoreLost -> stores.lost(news.store)
    }
    return true
}

private fun Beliefs.applyPeerUpdate(news: News.Load, nowMillis: Long) {
    val state = endpoints[news.endpoint] ?: return
    state.learnLoad(news.load)
    news.weights.forEach { (model, version) -> state.learnWeights(model, version) }
    news.clockMillis?.let { engineClock.learn(it, news.load.atMillis, nowMillis) }
}

private fun Beliefs.applyPeerUpdate(news: News.Ordered, nowMillis: Long) {
    othersOrderedMillis = nowMillis
    endpoints[news.endpoint]?.orderedUntilMillis = if (news.active) nowMillis + ORDERED_EXPIRY_MILLIS else nowMillis
}

// An engine counts as ordered for this long after the last word of it: four times the holder's period, and two hubs.
internal const val ORDERED_EXPIRY_MILLIS = 800L
