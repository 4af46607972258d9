package org.parsleymoor.entry.control

import org.parsleymoor.entry.serving.DeploymentView
import org.parsleymoor.relay.exchange.News
import org.parsleymoor.relay.fleet.fellSilent

/**
 * Takes in [news] of a peer at [nowMillis]; returns false when they do not join what is known of a KV cache store, all
 * of whose contents are needed.
 */
internal fun DeploymentView.learn(news: News, nowMillis: Long): Boolean {
    when (news) {
        is News.Load -> learn(news, nowMillis)
        is News.Silent -> endpoints[news.endpoint]?.fellSilent(news.atMillis)
        is News.Sent -> if (news.origin != self) endpoints[news.endpoint]?.let { recordSentPrompt(it, news.prompt) }
        is News.Ordered -> if (news.holder != self) learn(news, nowMillis)
        is News.StoreEvents -> {
            lastStoreResponseMillis[news.store] = nowMillis
            return stores.joins(news)
        }
        is PeerUpdate.CacheStoreUnreachable -> stores.forget(news.store)
    }
    return true
}

private fun DeploymentView.learn(news: News.Load, nowMillis: Long) {
    val state = endpoints[news.endpoint] ?: return
    state.learnLoad(news.load)
    news.weights.forEach { (model, version) -> state.learnWeights(model, version) }
    news.clockMillis?.let { engineClock.updateFromPeer(it, news.load.atMillis, nowMillis) }
}

private fun DeploymentView.learn(news: News.Ordered, nowMillis: Long) {
    lastPeerOrderMillis = nowMillis
    endpoints[news.endpoint]?.orderedUntilMillis = if (news.active) nowMillis + ORDER_MILLIS else nowMillis
}

// An engine counts as ordered for this long after the last word of it: four times the holder's period, and two hubs.
internal const val ORDER_MILLIS = 800L
