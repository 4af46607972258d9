package org.parsleymoor.entry.control

import org.parsleymoor.entry.protocol.ObjectKind
import org.parsleymoor.entry.protocol.StorePosition
import org.parsleymoor.entry.protocol.StoredObject
import org.parsleymoor.peering.CacheStoreDigest
import org.parsleymoor.peering.CachedPartDigest
import org.parsleymoor.peering.EngineLoadDigest
import org.parsleymoor.peering.EngineOrderDigest
import org.parsleymoor.peering.LeavingEndpointDigest
import org.parsleymoor.peering.NamespaceDigest
import org.parsleymoor.peering.OfferedObject
import org.parsleymoor.peering.OfferedState
import org.parsleymoor.peering.PeerMessage
import org.parsleymoor.peering.SentPromptDigest
import org.parsleymoor.peering.UnresponsiveEngineDigest
import org.parsleymoor.relay.cache.CacheStoreChange
import org.parsleymoor.relay.cache.CachedPart
import org.parsleymoor.relay.cache.ContextKey
import org.parsleymoor.relay.cache.EngineIncarnation
import org.parsleymoor.relay.exchange.ForwardScope
import org.parsleymoor.relay.exchange.PeerUpdate
import org.parsleymoor.relay.fleet.EngineLoad
import org.parsleymoor.relay.fleet.SentPrompt
import org.parsleymoor.relay.fleet.SocketAddress

/** Encodes these updates as a message to peers; [passOn] says how far its receivers forward them. */
internal fun List<PeerUpdate>.toMessage(
    passOn: ForwardScope,
    nowMillis: Long
): PeerMessage.InstanceNews = PeerMessage.InstanceNews(
    passOn = passOn.name,
    loads = filterIsInstance<PeerUpdate.Load>().map { it.toDigest(nowMillis) },
    paces = filterIsInstance<PeerUpdate.Load>()
        .mapNotNull { update -> update.load.pacePercent?.let { update.endpoint to it } }.toMap(),
    silent = filterIsInstance<PeerUpdate.Unresponsive>()
        .map { UnresponsiveEngineDigest(it.endpoint, nowMillis - it.atMillis) },
    sent = filterIsInstance<PeerUpdate.Sent>().map { it.toDigest(nowMillis) },
    ordered = filterIsInstance<PeerUpdate.Ordered>().map { EngineOrderDigest(it.holder, it.endpoint, it.active) },
    stores = mapNotNull { update ->
        when (update) {
            is PeerUpdate.CacheStoreEvents -> update.toDigest()
            is PeerUpdate.CacheStoreUnreachable -> CacheStoreDigest(
                update.store.toString(),
                0,
                0,
                0,
                emptyList(),
                lost = true
            )
            is PeerUpdate.Load, is PeerUpdate.Unresponsive, is PeerUpdate.Sent, is PeerUpdate.Ordered,
            is PeerUpdate.Leaving, is PeerUpdate.Measured, is PeerUpdate.LimitNews, is PeerUpdate.CrashEvidence,
            is PeerUpdate.ReleaseNews -> null
        }
    },
    measured = filterIsInstance<PeerUpdate.Measured>().map { it.toDigest() },
    crashed = filterIsInstance<PeerUpdate.Crashed>().map { it.toDigest(nowMillis) },
    answered = filterIsInstance<PeerUpdate.Answered>().map { it.toDigest(nowMillis) },
    quarantined = filterIsInstance<PeerUpdate.Quarantined>().map { it.toDigest(nowMillis) },
    leaving = filterIsInstance<PeerUpdate.Leaving>()
        .map { LeavingEndpointDigest(it.endpoint.endpoint, it.endpoint.startMillis) },
    limits = filterIsInstance<PeerUpdate.Limited>().map { it.limit.toDigest() },
    demands = filterIsInstance<PeerUpdate.Demanded>().map { it.demand.toDigest() },
    crashedRequests = filterIsInstance<PeerUpdate.Crashed>().map { it.crash.request.request?.hash },
    ambiguous = filterIsInstance<PeerUpdate.Quarantined>().map { it.entry }.filter { it.ambiguous }
        .map { it.key.hash }.toSet(),
    releases = filterIsInstance<PeerUpdate.Quarantined>()
        .mapNotNull { update -> update.entry.release?.let { update.entry.key.hash to it } }.toMap(),
    releaseSteps = filterIsInstance<PeerUpdate.ReleaseDecided>().map { it.step.toDigest() },
    releaseReports = filterIsInstance<PeerUpdate.ReleaseReported>().map { it.report.toDigest() },
)

/** Decodes the updates in this message, which arrived at [nowMillis]: ages are converted to local times. */
internal fun PeerMessage.InstanceNews.toUpdates(nowMillis: Long): List<PeerUpdate> =
    loads.map { it.toUpdate(paces[it.endpoint], nowMillis) } +
        silent.map { PeerUpdate.Unresponsive(it.endpoint, nowMillis - it.ageMillis) } +
        sent.map { it.toUpdate(nowMillis) } +
        ordered.map { PeerUpdate.Ordered(it.holder, it.endpoint, it.active) } +
        stores.mapNotNull { it.toUpdate() } +
        crashed.mapIndexed { index, digest -> digest.toUpdate(crashedRequests.getOrNull(index), nowMillis) } +
        answered.map { it.toUpdate(nowMillis) } +
        quarantined.map { it.toUpdate(it.part in ambiguous, releases[it.part], nowMillis) } +
        leaving.map { PeerUpdate.Leaving(EngineIncarnation(it.endpoint, it.startMillis)) } +
        limits.map { PeerUpdate.Limited(it.toLimit()) } +
        demands.map { PeerUpdate.Demanded(it.toDemand()) } +
        measured.map { it.toUpdate() } +
        releaseSteps.mapNotNull { it.toStep() }.map { PeerUpdate.ReleaseDecided(it) } +
        releaseReports.map { PeerUpdate.ReleaseReported(it.toReport()) }

/** Encodes these changes of a KV cache store, grouped by namespace. */
internal fun PeerUpdate.CacheStoreEvents.toDigest(): CacheStoreDigest = CacheStoreDigest(
    store = store.toString(),
    epoch = epoch,
    from = from,
    to = to,
    namespaces = changes.groupBy { it.part.namespace }.map { (namespace, changes) ->
        NamespaceDigest(namespace, changes.map { CachedPartDigest(it.part.part, it.tokens, it.held) })
    },
    lost = false,
)

/** Decodes the update of a KV cache store; returns null when its address is invalid. */
internal fun CacheStoreDigest.toUpdate(): PeerUpdate? {
    val address = SocketAddress.parse(store) ?: return null
    val changes = namespaces.flatMap { digest ->
        digest.parts.map { CacheStoreChange(CachedPart(digest.namespace, it.part), it.tokens, it.held) }
    }
    return if (lost) {
        PeerUpdate.CacheStoreUnreachable(address)
    } else {
        PeerUpdate.CacheStoreEvents(address, epoch, from, to, changes)
    }
}

internal fun ObjectOffer.toMessage(kind: String): PeerMessage.ObjectsOffered = PeerMessage.ObjectsOffered(
    kind = kind,
    revision = position.revision,
    objects = objects.map { OfferedObject(it.name, it.revision, it.content) },
    since = since,
    removed = removed,
    era = position.era,
    states = objects.filter { it.status != null || kind == ObjectKind.RELEASES.name }
        .associate { it.name to OfferedState(it.status, it.created) },
)

internal fun PeerMessage.ObjectsOffered.toOffer(): ObjectOffer =
    ObjectOffer(
        position = StorePosition(era, revision),
        objects = objects.map { value ->
            val state = states[value.name]
            StoredObject(value.name, value.revision, value.content, state?.status, state?.created ?: 0)
        },
        since = since,
        removed = removed,
    )

private fun PeerUpdate.Load.toDigest(nowMillis: Long): EngineLoadDigest = EngineLoadDigest(
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

private fun EngineLoadDigest.toUpdate(pacePercent: Int?, nowMillis: Long): PeerUpdate.Load {
    val load = EngineLoad(running, waiting, prefilling, memoryUsed, memoryTotal, nowMillis - ageMillis, pacePercent)
    return PeerUpdate.Load(endpoint, load, weights, clockMillis)
}

private fun PeerUpdate.Sent.toDigest(nowMillis: Long): SentPromptDigest = SentPromptDigest(
    origin = origin,
    endpoint = endpoint,
    tokens = prompt.tokens,
    tokensToRead = prompt.prefillTokens,
    context = prompt.context.hash,
    ageMillis = nowMillis - prompt.atMillis,
)

private fun SentPromptDigest.toUpdate(nowMillis: Long): PeerUpdate.Sent =
    PeerUpdate.Sent(origin, endpoint, SentPrompt(nowMillis - ageMillis, tokens, tokensToRead, ContextKey(context)))
