package org.parsleymoor.relay.exchange

/** How far the receiver of news passes them on. */
public enum class PassOn {
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
public class NewsBox {
    private val boxes = PassOn.entries.associateWith { Box() }

    /** Adds what this instance has learned itself. */
    public fun addOwn(news: News, tree: PeerTree, nowMillis: Long) {
        when {
            tree.direct -> add(news, PassOn.NOBODY)
            tree.isHub(nowMillis) -> passOn(news, PassOn.EVERYWHERE)
            else -> add(news, PassOn.EVERYWHERE)
        }
    }

    /** Adds what a peer told with [passOn], as far as it has to be passed on. */
    public fun passOn(news: News, passOn: PassOn) {
        when (passOn) {
            PassOn.EVERYWHERE -> {
                add(news, PassOn.ZONE)
                add(news, PassOn.NOBODY)
            }
            PassOn.ZONE -> add(news, PassOn.NOBODY)
            PassOn.NOBODY -> Unit
        }
    }

    /** Takes out the news that are told with [passOn]. */
    public fun take(passOn: PassOn): List<News> = boxes.getValue(passOn).take()

    private fun add(news: News, passOn: PassOn) {
        boxes.getValue(passOn).add(news)
    }

    private class Box {
        private val newest = LinkedHashMap<Any, News>()
        private val all = ArrayDeque<News>()

        fun add(news: News) {
            when (news) {
                is News.Load -> newest[news.endpoint to News.Load::class] = news
                is News.Silent -> newest[news.endpoint to News.Silent::class] = news
                is News.Ordered -> newest[news.endpoint to News.Ordered::class] = news
                is News.Sent, is News.StoreEvents, is News.StoreLost -> all.addLast(news)
            }
            while (all.size > KEPT_NEWS) all.removeFirst()
        }

        fun take(): List<News> {
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
