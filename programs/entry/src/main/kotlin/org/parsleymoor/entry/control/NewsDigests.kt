package org.parsleymoor.entry.control

import org.parsleymoor.entry.protocol.StoredObject
import org.parsleymoor.peering.CacheStoreDigest
import org.parsleymoor.peering.CachedPartDigest
import org.parsleymoor.peering.EngineLoadDigest
import org.parsleymoor.peering.NamespaceDigest
import org.parsleymoor.peering.OfferedObject
import org.parsleymoor.peering.OrderedEngineDigest
import org.parsleymoor.peering.PeerMessage
import org.parsleymoor.peering.SentPromptDigest
import org.parsleymoor.peering.SilentEngineDigest
import org.parsleymoor.relay.cache.CacheStoreChange
import org.parsleymoor.relay.cache.CachedPart
import org.parsleymoor.relay.cache.ContextKey
import org.parsleymoor.relay.exchange.ForwardScope
import org.parsleymoor.relay.exchange.PeerUpdate
import org.parsleymoor.relay.fleet.EngineLoad
import org.parsleymoor.relay.fleet.SentPrompt
import org.parsleymoor.relay.fleet.SocketAddress

/** Returns these news as a message to peers, which pass them on as far as [passOn] says. */
internal fun List<PeerUpdate>.toMessage(
    passOn: ForwardScope,
    nowMillis: Long
): PeerMessage.InstanceNews = PeerMessage.InstanceNews(
    passOn = passOn.name,
    loads = filterIsInstance<PeerUpdate.Load>().map { it.digest(nowMillis) },
    silent = filterIsInstance<PeerUpdate.Unresponsive>().map {
        SilentEngineDigest(it.endpoint, nowMillis - it.atMillis)
    },
    sent = filterIsInstance<PeerUpdate.Sent>().map { it.digest(nowMillis) },
    ordered = filterIsInstance<PeerUpdate.Ordered>().map { OrderedEngineDigest(it.holder, it.endpoint, it.active) },
    stores = mapNotNull { news ->
        when (news) {
            is PeerUpdate.CacheStoreEvents -> news.digest()
            is PeerUpdate.CacheStoreUnreachable ->
                CacheStoreDigest(news.store.toString(), 0, 0, 0, emptyList(), lost = true)
            is PeerUpdate.Load, is PeerUpdate.Unresponsive, is PeerUpdate.Sent, is PeerUpdate.Ordered -> null
        }
    },
)

/** Returns the news of this message, whose ages are counted back from [nowMillis]. */
internal fun PeerMessage.InstanceNews.news(nowMillis: Long): List<PeerUpdate> =
    loads.map { it.news(nowMillis) } +
        silent.map { PeerUpdate.Unresponsive(it.endpoint, nowMillis - it.ageMillis) } +
        sent.map { it.news(nowMillis) } +
        ordered.map { PeerUpdate.Ordered(it.holder, it.endpoint, it.active) } +
        stores.mapNotNull { it.news() }

/** Returns these changes of a KV cache store for peers, grouped by name space. */
internal fun PeerUpdate.CacheStoreEvents.digest(): CacheStoreDigest = CacheStoreDigest(
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
internal fun CacheStoreDigest.news(): PeerUpdate? {
    val address = SocketAddress.parse(store) ?: return null
    val changes = namespaces.flatMap { space ->
        space.parts.map { CacheStoreChange(CachedPart(space.namespace, it.part), it.tokens, it.held) }
    }
    return if (lost) {
        PeerUpdate.CacheStoreUnreachable(address)
    } else {
        PeerUpdate.CacheStoreEvents(address, epoch, from, to, changes)
    }
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

private fun PeerUpdate.Load.digest(nowMillis: Long): EngineLoadDigest = EngineLoadDigest(
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

private fun EngineLoadDigest.news(nowMillis: Long): PeerUpdate.Load {
    val load = EngineLoad(running, waiting, prefilling, memoryUsed, memoryTotal, nowMillis - ageMillis)
    return PeerUpdate.Load(endpoint, load, weights, clockMillis)
}

private fun PeerUpdate.Sent.digest(nowMillis: Long): SentPromptDigest = SentPromptDigest(
    origin = origin,
    endpoint = endpoint,
    tokens = prompt.tokens,
    tokensToRead = prompt.prefillTokens,
    context = prompt.context.hash,
    ageMillis = nowMillis - prompt.atMillis,
)

private fun SentPromptDigest.news(nowMillis: Long): PeerUpdate.Sent =
    PeerUpdate.Sent(origin, endpoint, SentPrompt(nowMillis - ageMillis, tokens, tokensToRead, ContextKey(context)))
