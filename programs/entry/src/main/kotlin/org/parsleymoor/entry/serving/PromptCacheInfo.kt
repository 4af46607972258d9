package org.parsleymoor.entry.serving

import org.parsleymoor.relay.cache.CacheStore
import org.parsleymoor.relay.cache.ContextKey
import org.parsleymoor.relay.cache.EngineCache
import org.parsleymoor.relay.fleet.EndpointState
import org.parsleymoor.relay.prompt.PromptContext
import org.parsleymoor.relay.prompt.cacheNamespace

/**
 * Cache namespace, context key and stores of [prompt], sent in [scope], for each candidate engine. They depend only on
 * the engine's weights, so they are computed once per version of the weights and not once per engine.
 */
internal class PromptCacheInfo(
    val prompt: PromptContext,
    val scope: SendScope,
    pending: PendingRequest,
    private val deployment: DeploymentView,
    private val transfers: CacheTransferPlanner,
) {
    private val versions = HashMap<Long, VersionInfo>()
    private val organisation = pending.organisation?.id
    private val tokenBytes = pending.service.engine?.tokenBytes ?: 1

    /** Returns the key of the shared parts of the prompt in the cache of [state]. */
    fun context(state: EndpointState): ContextKey = version(state).context

    /** Estimates how long [state] needs to fetch the shared parts; null if no store holds them. */
    fun fetchMillis(state: EndpointState): Double? {
        val holders = version(state).holders
        return if (holders.isEmpty()) null else transfers.fetchMillis(prompt, holders, side(state))
    }

    /** Describes [state] as one side of a cache transfer. */
    fun side(state: EndpointState): EngineCache {
        val version = version(state)
        return EngineCache(state.entry.zone, version.namespace, tokenBytes, version.current)
    }

    private fun version(state: EndpointState): VersionInfo {
        val weights = state.weights(prompt.model) ?: 0
        return versions.getOrPut(weights) {
            val namespace = namespace(weights)
            VersionInfo(
                namespace = namespace,
                context = ContextKey.of(namespace, prompt.affinityKey),
                holders = transfers.holders(scope, prompt, namespace),
                current = weights >= (deployment.weights[prompt.model]?.version ?: 0),
            )
        }
    }

    private fun namespace(weights: Long): String =
        cacheNamespace(prompt.model, weights, organisation, scope.isolated) + scope.isolationTag

    private class VersionInfo(
        val namespace: String,
        val context: ContextKey,
        val holders: List<CacheStore>,
        val current: Boolean,
    )
}
