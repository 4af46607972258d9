package org.parsleymoor.relay.exchange

/** How far the receiver of news passes them on. */
public enum class ForwardScope {
    /** To its availability zone and to a hub of each other zone. */
    EVERYWHERE,

    /** To its availability zone. */
    ZONE,

    /** To nobody. */
    NOBODY,
}

/**
 * News that wait to be told. Later news of the same matter replace earlier ones, and of each kind at most
 * [KEPT_NEWS] wait, so that an instance without connections does not fill its memory. Not safe for use from several
 * threads.
 */
public class PeerUpdateQueue {
    private val boxes = ForwardScope.entries.associateWith { Box() }

    /** Adds what this instance has learned itself. */
    public fun addLocal(news: PeerUpdate, tree: PeerTree, nowMillis: Long) {
        when {
            tree.direct -> add(news, ForwardScope.NOBODY)
            tree.isHub(nowMillis) -> passOn(news, ForwardScope.EVERYWHERE)
            else -> add(news, ForwardScope.EVERYWHERE)
        }
    }

    /** Adds what a peer told with [passOn], as far as it has to be passed on. */
    public fun passOn(news: PeerUpdate, passOn: ForwardScope) {
        when (passOn) {
            ForwardScope.EVERYWHERE -> {
                add(news, ForwardScope.ZONE)
                add(news, ForwardScope.NOBODY)
            }
            ForwardScope.ZONE -> add(news, ForwardScope.NOBODY)
            ForwardScope.NOBODY -> Unit
        }
    }

    /** Takes out the news that are told with [passOn]. */
    public fun take(passOn: ForwardScope): List<PeerUpdate> = boxes.getValue(passOn).take()

    private fun add(news: PeerUpdate, passOn: ForwardScope) {
        boxes.getValue(passOn).add(news)
    }

    private class Box {
        private val newest = LinkedHashMap<Any, PeerUpdate>()
        private val all = ArrayDeque<PeerUpdate>()

        fun add(news: PeerUpdate) {
            when (news) {
                is PeerUpdate.Load -> newest[news.endpoint to PeerUpdate.Load::class] = news
                is PeerUpdate.Unresponsive -> newest[news.endpoint to PeerUpdate.Unresponsive::class] = news
                is PeerUpdate.Ordered -> newest[news.endpoint to PeerUpdate.Ordered::class] = news
                is PeerUpdate.Sent, is PeerUpdate.CacheStoreEvents, is PeerUpdate.CacheStoreUnreachable -> all.addLast(
                    news
                )
            }
            while (all.size > KEPT_NEWS) all.removeFirst()
        }

        fun take(): List<PeerUpdate> {
            val taken = newest.values + all
            newest.clear()
            all.clear()
            return taken
        }
    }

    private companion object {
        // All prompts and store events of several seconds at hundreds of requests a second.
        const val KEPT_NEWS = 2_000
    }
}
