package org.parsleymoor.entry.control

import org.parsleymoor.entry.protocol.StoredObject
import org.parsleymoor.peering.CacheStoreDigest
import org.parsleymoor.peering.CachedPartDigest
import org.parsleymoor.peering.EngineLoadDigest
import org.parsleymoor.peering.EngineOrderDigest
import org.parsleymoor.peering.NamespaceDigest
import org.parsleymoor.peering.OfferedObject
import org.parsleymoor.peering.PeerMessage
import org.parsleymoor.peering.SentPromptDigest
import org.parsleymoor.peering.UnresponsiveEngineDigest
import org.parsleymoor.relay.cache.CachedPart
import org.parsleymoor.relay.cache.ContextKey
import org.parsleymoor.relay.cache.StoreChange
import org.parsleymoor.relay.exchange.News
import org.parsleymoor.relay.exchange.PassOn
import org.parsleymoor.relay.fleet.EngineLoad
import org.parsleymoor.relay.fleet.SentPrompt
import org.parsleymoor.relay.fleet.SocketAddress

/** Returns these news as a message to peers, which pass them on as far as [passOn] says. */
internal fun List<News>.toMessage(passOn: PassOn, nowMillis: Long): PeerMessage.InstanceNews = PeerMessage.InstanceNews(
    passOn = passOn.name,
    loads = filterIsInstance<News.Load>().map { it.digest(nowMillis) },
    silent = filterIsInstance<News.Silent>().map { UnresponsiveEngineDigest(it.endpoint, nowMillis - it.atMillis) },
    sent = filterIsInstance<News.Sent>().map { it.digest(nowMillis) },
    ordered = filterIsInstance<News.Ordered>().map { EngineOrderDigest(it.holder, it.endpoint, it.active) },
    stores = mapNotNull { news ->
        when (news) {
            is News.StoreEvents -> news.digest()
            is News.StoreLost -> CacheStoreDigest(news.store.toString(), 0, 0, 0, emptyList(), lost = true)
            is News.Load, is News.Silent, is News.Sent, is News.Ordered -> null
        }
    },
)

/** Returns the news of this message, whose ages are counted back from [nowMillis]. */
internal fun PeerMessage.InstanceNews.news(nowMillis: Long): List<News> =
    loads.map { it.news(nowMillis) } +
        silent.map { News.Silent(it.endpoint, nowMillis - it.ageMillis) } +
        sent.map { it.news(nowMillis) } +
        ordered.map { News.Ordered(it.holder, it.endpoint, it.active) } +
        stores.mapNotNull { it.news() }

/** Returns these changes of a KV cache store for peers, grouped by name space. */
internal fun News.StoreEvents.digest(): CacheStoreDigest = CacheStoreDigest(
    store = store.toString(),
    epoch = epoch,
    from = from,
    to = to,
    namespaces = changes.groupBy { it.part.namespace }.map { (namespace, changes) ->
        NamespaceDigest(namespace, changes.map { CachedPartDigest(it.part.part, it.tokens, it.held) })
    },
    lost = false,
)

/** Returns the news of a KV cache store, or null when its address cannot be read. */
internal fun CacheStoreDigest.news(): News? {
    val address = SocketAddress.parse(store) ?: return null
    val changes = namespaces.flatMap { space ->
        space.parts.map { StoreChange(CachedPart(space.namespace, it.part), it.tokens, it.held) }
    }
    return if (lost) News.StoreLost(address) else News.StoreEvents(address, epoch, from, to, changes)
}

internal fun ObjectOffer.toMessage(kind: String): PeerMessage.ObjectsOffered = PeerMessage.ObjectsOffered(
    kind = kind,
    revision = revision,
    objects = objects.map { OfferedObject(it.name, it.revision, it.content) },
    since = since,
    removed = removed,
)

internal fun PeerMessage.ObjectsOffered.toOffer(): ObjectOffer =
    ObjectOffer(revision, objects.map { StoredObject(it.name, it.revision, it.content) }, since, removed)

private fun News.Load.digest(nowMillis: Long): EngineLoadDigest = EngineLoadDigest(
    endpoint = endpoint,
    running = load.running,
    waiting = load.waiting,
    prefilling = load.prefilling,
    memoryUsed = load.memoryUsed,
    memoryTotal = load.memoryTotal,
    weights = weights,
    clockMillis = clockMillis,
    ageMillis = nowMillis - load.atMillis,
)

private fun EngineLoadDigest.news(nowMillis: Long): News.Load {
    val load = EngineLoad(running, waiting, prefilling, memoryUsed, memoryTotal, nowMillis - ageMillis)
    return News.Load(endpoint, load, weights, clockMillis)
}

private fun News.Sent.digest(nowMillis: Long): SentPromptDigest = SentPromptDigest(
    origin = origin,
    endpoint = endpoint,
    tokens = prompt.tokens,
    tokensToRead = prompt.tokensToRead,
    context = prompt.context.hash,
    ageMillis = nowMillis - prompt.atMillis,
)

private fun SentPromptDigest.news(nowMillis: Long): News.Sent =
    News.Sent(origin, endpoint, SentPrompt(nowMillis - ageMillis, tokens, tokensToRead, ContextKey(context)))
