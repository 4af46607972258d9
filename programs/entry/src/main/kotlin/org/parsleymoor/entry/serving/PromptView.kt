package org.parsleymoor.entry.serving

import org.parsleymoor.relay.cache.CacheStore
import org.parsleymoor.relay.cache.ContextKey
import org.parsleymoor.relay.cache.EngineCache
import org.parsleymoor.relay.fleet.EndpointState
import org.parsleymoor.relay.prompt.PromptContext
import org.parsleymoor.relay.prompt.cacheNamespace

/**
 * What the choice of an engine asks about [prompt] for every engine. Names and stores depend only on the weights of the
 * engine, so that they are worked out once for each version and not for each engine.
 */
internal class PromptView(
    val work: Work,
    val prompt: PromptContext,
    private val beliefs: Beliefs,
    private val transfers: CacheTransfers,
) {
    private val versions = HashMap<Long, Version>()
    private val tokenBytes = work.service.engine?.tokenBytes ?: 1

    /** Names the shared parts of the prompt as [state] keeps them. */
    fun context(state: EndpointState): ContextKey = version(state).context

    /** Returns how long [state] needs to fetch the shared parts, or null when no store has them. */
    fun fetchMillis(state: EndpointState): Double? {
        val holders = version(state).holders
        return if (holders.isEmpty()) null else transfers.fetchMillis(prompt, holders, side(state))
    }

    /** Describes the side of [state] in a transfer. */
    fun side(state: EndpointState): EngineCache {
        val version = version(state)
        return EngineCache(state.entry.zone, version.namespace, tokenBytes, version.current)
    }

    private fun version(state: EndpointState): Version {
        val weights = state.weights(prompt.model) ?: 0
        return versions.getOrPut(weights) {
            val namespace = namespace(weights)
            Version(
                namespace = namespace,
                context = ContextKey.of(namespace, prompt.affinityKey),
                holders = transfers.holders(work, prompt, namespace),
                current = weights >= (beliefs.weights[prompt.model]?.version ?: 0),
            )
        }
    }

    private fun namespace(weights: Long): String {
        val isolatedSet = beliefs.routes?.isolationTag.orEmpty()
        val organisation = work.organisation
        return cacheNamespace(prompt.model, weights, organisation?.id, organisation?.isolated == true) + isolatedSet
    }

    private class Version(
        val namespace: String,
        val context: ContextKey,
        val holders: List<CacheStore>,
        val current: Boolean,
    )
}
