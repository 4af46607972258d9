package org.parsleymoor.entry.control

import org.parsleymoor.entry.serving.DeploymentView
import org.parsleymoor.entry.serving.LeavingSource
import org.parsleymoor.relay.exchange.PeerUpdate
import org.parsleymoor.relay.fleet.recordUnansweredPoll

/**
 * Applies an update that arrived from a peer at [nowMillis]. Returns false when the events of a KV cache store do not
 * continue its known contents, so that all of its contents have to be requested.
 */
internal fun DeploymentView.applyPeerUpdate(update: PeerUpdate, nowMillis: Long): Boolean {
    when (update) {
        is PeerUpdate.Load -> applyPeerUpdate(update, nowMillis)
        is PeerUpdate.Unresponsive -> endpoints[update.endpoint]?.recordUnansweredPoll(update.atMillis)
        is PeerUpdate.Sent -> if (update.origin != self) applyPeerUpdate(update, nowMillis)
        is PeerUpdate.Ordered -> if (update.holder != self) applyPeerUpdate(update, nowMillis)
        is PeerUpdate.Leaving -> learnLeaving(update.endpoint, LeavingSource.Peer)
        is PeerUpdate.Measured -> applyPeerUpdate(update, nowMillis)
        is PeerUpdate.LimitNews -> applyPeerUpdate(update, nowMillis)
        is PeerUpdate.CrashEvidence -> applyPeerUpdate(update, nowMillis)
        is PeerUpdate.ReleaseNews -> applyPeerUpdate(update, nowMillis)
        is PeerUpdate.CacheStoreEvents -> {
            lastStoreResponseMillis[update.store] = nowMillis
            return stores.applyPeerEvents(update)
        }
        is PeerUpdate.CacheStoreUnreachable -> stores.forget(update.store)
    }
    return true
}

private fun DeploymentView.applyPeerUpdate(update: PeerUpdate.Sent, nowMillis: Long) {
    endpoints[update.endpoint]?.let { recordSentPrompt(update.origin, it, update.prompt, nowMillis) }
}

private fun DeploymentView.applyPeerUpdate(update: PeerUpdate.Load, nowMillis: Long) {
    val state = endpoints[update.endpoint] ?: return
    state.learnLoad(update.load)
    update.weights.forEach { (model, version) -> state.learnWeights(model, version) }
    update.clockMillis?.let { engineClock.updateFromPeer(it, update.load.atMillis, nowMillis) }
}

private fun DeploymentView.applyPeerUpdate(update: PeerUpdate.Ordered, nowMillis: Long) {
    lastPeerOrderMillis = nowMillis
    endpoints[update.endpoint]?.orderedUntilMillis = if (update.active) nowMillis + ORDERED_EXPIRY_MILLIS else nowMillis
}

// Time after the last announcement for which an engine counts as receiving orders: four announcement periods of the
// lease holder, which includes forwarding by two hubs.
internal const val ORDERED_EXPIRY_MILLIS = 800L

private fun DeploymentView.applyPeerUpdate(update: PeerUpdate.CrashEvidence, nowMillis: Long) {
    when (update) {
        is PeerUpdate.Crashed -> if (update.origin != self) recordCrash(update.crash)
        is PeerUpdate.Answered -> quarantine.recordAnswer(update.keys, update.atMillis)
        is PeerUpdate.Quarantined -> quarantine.recordQuarantine(update.entry, nowMillis)
            ?.let { announce(PeerUpdate.Answered(setOf(update.entry.key), it)) }
    }
}

private fun DeploymentView.applyPeerUpdate(update: PeerUpdate.Measured, nowMillis: Long) {
    val state = endpoints[update.endpoint.endpoint]?.takeIf { it.incarnation == update.endpoint }
    if (update.origin != self) state?.speed?.learn(update.evidence, nowMillis)
}

private fun DeploymentView.applyPeerUpdate(update: PeerUpdate.ReleaseNews, nowMillis: Long) {
    when (update) {
        is PeerUpdate.ReleaseDecided -> {
            // Like an order to an engine, it shows that there is a lease holder.
            lastPeerOrderMillis = nowMillis
            releases.learn(update.step, nowMillis)
        }
        is PeerUpdate.ReleaseReported -> if (update.report.origin != self) releases.learn(update.report, nowMillis)
    }
}

private fun DeploymentView.applyPeerUpdate(update: PeerUpdate.LimitNews, nowMillis: Long) {
    when (update) {
        is PeerUpdate.Limited -> learnLimit(update.limit, nowMillis)
        is PeerUpdate.Demanded ->
            if (update.demand.origin != self) endpoints.limits.demands.learn(update.demand, nowMillis)
    }
}
