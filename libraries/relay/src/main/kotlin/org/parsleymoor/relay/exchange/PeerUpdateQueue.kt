package org.parsleymoor.relay.exchange

/** How far the receiver of an update forwards it. */
public enum class ForwardScope {
    /** To the instances in its availability zone and to one hub in each other zone. */
    EVERYWHERE,

    /** To the instances in its availability zone. */
    ZONE,

    /** Not at all. */
    NOBODY,
}

/**
 * Updates that wait to be sent, by the scope in which their receivers forward them. A newer load report, unanswered
 * poll or order replaces an earlier one about the same engine, a newer quarantine one of the same content, a newer
 * limit one of the same endpoint, a newer demand one of the same instance, a newer report on a release one of the same
 * instance, and a newer step of a release an earlier one; that an endpoint leaves is kept once. Of
 * the other updates the newest [MAX_QUEUED_UPDATES] in each scope are kept, so that an instance without connections
 * does not run out of memory. Not thread-safe.
 */
public class PeerUpdateQueue {
    private val queues = ForwardScope.entries.associateWith { Queue() }

    /** Adds an update that this instance originates. */
    public fun addLocal(update: PeerUpdate, tree: PeerTree, nowMillis: Long) {
        when {
            tree.direct -> add(update, ForwardScope.NOBODY)
            tree.isHub(nowMillis) -> passOn(update, ForwardScope.EVERYWHERE)
            else -> add(update, ForwardScope.EVERYWHERE)
        }
    }

    /** Adds an update that a peer sent with [scope], if it has to be forwarded. */
    public fun passOn(update: PeerUpdate, scope: ForwardScope) {
        when (scope) {
            ForwardScope.EVERYWHERE -> {
                add(update, ForwardScope.ZONE)
                add(update, ForwardScope.NOBODY)
            }
            ForwardScope.ZONE -> add(update, ForwardScope.NOBODY)
            ForwardScope.NOBODY -> Unit
        }
    }

    /** Removes and returns the updates that are sent with [scope]. */
    public fun take(scope: ForwardScope): List<PeerUpdate> = queues.getValue(scope).take()

    private fun add(update: PeerUpdate, scope: ForwardScope) {
        queues.getValue(scope).add(update)
    }

    private class Queue {
        private val newest = LinkedHashMap<Any, PeerUpdate>()
        private val others = ArrayDeque<PeerUpdate>()

        fun add(update: PeerUpdate) {
            when (update) {
                is PeerUpdate.Load -> newest[update.endpoint to PeerUpdate.Load::class] = update
                is PeerUpdate.Unresponsive -> newest[update.endpoint to PeerUpdate.Unresponsive::class] = update
                is PeerUpdate.Ordered -> newest[update.endpoint to PeerUpdate.Ordered::class] = update
                is PeerUpdate.Leaving -> newest[update.endpoint] = update
                is PeerUpdate.Quarantined -> newest[update.entry.key] = update
                is PeerUpdate.Limited -> addLimit(update)
                is PeerUpdate.Demanded -> newest[update.demand.origin to update.demand.service] = update
                is PeerUpdate.ReleaseReported -> addReport(update)
                is PeerUpdate.ReleaseDecided -> addDecision(update)
                is PeerUpdate.Sent, is PeerUpdate.Crashed, is PeerUpdate.Answered, is PeerUpdate.CacheStoreEvents,
                is PeerUpdate.CacheStoreUnreachable, is PeerUpdate.Measured -> others.addLast(update)
            }
            while (others.size > MAX_QUEUED_UPDATES) others.removeFirst()
        }

        /** Peers repeat what they know, which may be older than what is queued. */
        private fun addLimit(update: PeerUpdate.Limited) {
            val key = update.limit.endpoint.endpoint to PeerUpdate.Limited::class
            val queued = newest[key] as? PeerUpdate.Limited
            if (queued == null || update.limit.isNewerThan(queued.limit)) newest[key] = update
        }

        private fun addReport(update: PeerUpdate.ReleaseReported) {
            val key = update.report.origin to update.report.order
            val queued = newest[key] as? PeerUpdate.ReleaseReported
            if (queued == null || update.report.orderAgeMillis >= queued.report.orderAgeMillis) newest[key] = update
        }

        private fun addDecision(update: PeerUpdate.ReleaseDecided) {
            val queued = newest[update.step.order] as? PeerUpdate.ReleaseDecided
            if (queued == null || !queued.step.isNewerThan(update.step)) newest[update.step.order] = update
        }

        fun take(): List<PeerUpdate> {
            val taken = newest.values + others
            newest.clear()
            others.clear()
            return taken
        }
    }

    private companion object {
        // Holds the prompts and store events of several seconds at hundreds of requests per second.
        const val MAX_QUEUED_UPDATES = 2_000
    }
}
