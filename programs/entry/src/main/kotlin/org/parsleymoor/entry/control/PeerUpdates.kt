package org.parsleymoor.entry.control

import org.parsleymoor.entry.serving.Beliefs
import org.parsleymoor.relay.exchange.News
import org.parsleymoor.relay.fleet.fellSilent

/**
 * Applies an update that arrived from a peer at [nowMillis]. Returns false when the events of a KV cache store do not
 * continue its known contents, so that all of its contents have to be requested.
 */
internal fun Beliefs.applyPeerUpdate(update: News, nowMillis: Long): Boolean {
    when (update) {
        is News.Load -> applyPeerUpdate(update, nowMillis)
        is News.Silent -> endpoints[update.endpoint]?.fellSilent(update.atMillis)
        is News.Sent -> if (update.origin != self) endpoints[update.endpoint]?.let { noteSent(it, update.prompt) }
        is News.Ordered -> if (update.holder != self) applyPeerUpdate(update, nowMillis)
        is News.StoreEvents -> {
            storeNewsMillis[update.store] = nowMillis
            return stores.joins(update)
        }
        is News.StoreLost -> stores.lost(update.store)
    }
    return true
}

private fun Beliefs.applyPeerUpdate(update: News.Load, nowMillis: Long) {
    val state = endpoints[update.endpoint] ?: return
    state.learnLoad(update.load)
    update.weights.forEach { (model, version) -> state.learnWeights(model, version) }
    update.clockMillis?.let { engineClock.learn(it, update.load.atMillis, nowMillis) }
}

private fun Beliefs.applyPeerUpdate(update: News.Ordered, nowMillis: Long) {
    othersOrderedMillis = nowMillis
    endpoints[update.endpoint]?.orderedUntilMillis = if (update.active) nowMillis + ORDERED_EXPIRY_MILLIS else nowMillis
}

// Time after the last announcement for which an engine counts as receiving orders: four announcement periods of the
// lease holder, which includes forwarding by two hubs.
internal const val ORDERED_EXPIRY_MILLIS = 800L
