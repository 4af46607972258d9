package org.parsleymoor.relay.cache

import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.stableHash
import kotlin.math.exp

/** Identifies a shared context within a cache namespace by a 64-bit hash, which peers exchange. */
@JvmInline
public value class ContextKey(public val hash: Long) {
    public companion object {
        /** Returns the key of the context in [namespace] whose last part is [part]. */
        public fun of(namespace: String, part: String): ContextKey = ContextKey("$namespace $part".stableHash())
    }
}

/** One start of an engine; its cache holds nothing from earlier starts of [endpoint]. */
public data class EngineIncarnation(public val endpoint: EndpointId, public val startMillis: Long?)

/**
 * Tracks which engines recently received a shared context, from this instance or its peers. An engine keeps the parts
 * of a prompt in memory while its request runs, and afterwards until other requests need the space. Keeps the
 * [capacity] most recently used contexts. Not thread-safe.
 */
public class RecentContexts(private val capacity: Int = DEFAULT_CAPACITY) {
    private val contexts = LinkedHashMap<ContextKey, HashMap<EngineIncarnation, Long>>()

    /** Records that [engine] was sent a prompt with [context] at [atMillis]. */
    public fun record(context: ContextKey, engine: EngineIncarnation, atMillis: Long) {
        // Moves a context that is used again to the end, so that the first is the least recently used.
        val engines = contexts.remove(context) ?: HashMap()
        engines.merge(engine, atMillis, ::maxOf)
        engines.values.removeAll { atMillis - it > LIFE_MILLIS }
        contexts[context] = engines
        if (contexts.size > capacity) contexts -= contexts.keys.first()
    }

    /** Returns the probability, 0 to 1, that [engine] still holds [context] at [nowMillis]. */
    public fun cachedProbability(context: ContextKey, engine: EngineIncarnation, nowMillis: Long): Double {
        val atMillis = contexts[context]?.get(engine) ?: return 0.0
        val idleMillis = nowMillis - atMillis - RUN_MILLIS
        return if (idleMillis <= 0) RUNNING_PROBABILITY else RUNNING_PROBABILITY * exp(-idleMillis / RETENTION_MILLIS)
    }

    private companion object {
        // Ten times the number of contexts in the data sheets of the present deployments.
        const val DEFAULT_CAPACITY = 8_192

        // Requests with long prompts run for three seconds under load, during which their parts cannot be evicted.
        const val RUN_MILLIS = 3_000L

        // A request may end early or fail, and its parts with it.
        const val RUNNING_PROBABILITY = 0.9

        // Under load an engine fills its memory with other prompts in about this time.
        const val RETENTION_MILLIS = 4_000.0
        const val LIFE_MILLIS = 20_000L
    }
}
