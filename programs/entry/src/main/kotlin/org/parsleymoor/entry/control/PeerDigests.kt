package org.parsleymoor.entry.control

import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.ModelId
import org.parsleymoor.entry.protocol.StoredObject
import org.parsleymoor.entry.serving.Beliefs
import org.parsleymoor.peering.EngineLoadDigest
import org.parsleymoor.peering.OfferedObject
import org.parsleymoor.peering.PeerMessage
import org.parsleymoor.peering.SentPromptDigest
import org.parsleymoor.relay.cache.ContextKey
import org.parsleymoor.relay.fleet.EngineLoad
import org.parsleymoor.relay.fleet.SentPrompt

/** Takes in the load of an engine that a peer has read. */
internal fun Beliefs.learn(report: EngineLoadDigest, nowMillis: Long) {
    val load = EngineLoad(
        running = report.running,
        waiting = report.waiting,
        prefilling = report.prefilling,
        memoryUsed = report.memoryUsed,
        memoryTotal = report.memoryTotal,
        atMillis = nowMillis - report.ageMillis,
    )
    val state = endpoints[report.endpoint] ?: return
    state.learnLoad(load)
    report.weights.forEach { (model, version) -> state.learnWeights(model, version) }
}

/** Takes in a prompt that a peer has sent to an engine. */
internal fun Beliefs.learn(sent: SentPromptDigest, nowMillis: Long) {
    val context = ContextKey(sent.context)
    val state = endpoints[sent.endpoint] ?: return
    noteSent(state, SentPrompt(nowMillis - sent.ageMillis, sent.tokens, sent.tokensToRead, context))
}

/** Returns the digest of this load of [endpoint], which has [weights], for peers. */
internal fun EngineLoad.digest(
    endpoint: EndpointId,
    weights: Map<ModelId, Long>,
    nowMillis: Long,
): EngineLoadDigest = EngineLoadDigest(
    endpoint = endpoint,
    weights = weights,
    running = running,
    waiting = waiting,
    prefilling = prefilling,
    memoryUsed = memoryUsed,
    memoryTotal = memoryTotal,
    ageMillis = nowMillis - atMillis,
)

internal fun ObjectList.toOffer(kind: String): PeerMessage.ObjectsOffered =
    PeerMessage.ObjectsOffered(kind, revision, items.map { OfferedObject(it.name, it.revision, it.content) })

internal fun PeerMessage.ObjectsOffered.toList(): ObjectList =
    ObjectList(objects.map { StoredObject(it.name, it.revision, it.content) }, revision)
