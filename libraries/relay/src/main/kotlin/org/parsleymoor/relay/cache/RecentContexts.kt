package org.parsleymoor.relay.cache

import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.stableHash
import kotlin.math.exp

/** Names a shared context in one name space, in the 64 bits that peers exchange. */
@JvmInline
public value class ContextKey(public val hash: Long) {
    public companion object {
        /** Returns the key of the context that ends with [part] in [namespace]. */
        public fun of(namespace: String, part: String): ContextKey = ContextKey("$namespace $part".stableHash())
    }
}

/** One start of an engine: it holds nothing of what an earlier start of [endpoint] has read. */
public data class EngineIncarnation(public val endpoint: EndpointId, public val startMillis: Long?)

/**
 * Which engines were given a shared context lately, by this instance and its peers. An engine keeps the parts of a
 * prompt in memory while the prompt runs, and afterwards until other work needs the space. At most [capacity] contexts
 * are known. Not safe for use from several threads.
 */
public class RecentContexts(private val capacity: Int = DEFAULT_CAPACITY) {
    private val contexts = LinkedHashMap<ContextKey, HashMap<EngineIncarnation, Long>>()

    /** Notes that [engine] was given a prompt with [context] at [atMillis]. */
    public fun record(context: ContextKey, engine: EngineIncarnation, atMillis: Long) {
        // A context that is used again moves to the end, so that the first is the one unused for longest.
        val engines = contexts.remove(context) ?: HashMap()
        engines.merge(engine, atMillis, ::maxOf)
        engines.values.removeAll { atMillis - it > LIFE_MILLIS }
        contexts[context] = engines
        if (contexts.size > capacity) contexts -= contexts.keys.first()
    }

    /** Returns how likely [engine] still holds [context] at [nowMillis], 0 to 1. */
    public fun cachedProbability(context: ContextKey, engine: EngineIncarnation, nowMillis: Long): Double {
        val atMillis = contexts[context]?.get(engine) ?: return 0.0
        val idleMillis = nowMillis - atMillis - RUN_MILLIS
        return if (idleMillis <= 0) RUNNING_SHARE else RUNNING_SHARE * exp(-idleMillis / RETENTION_MILLIS)
    }

    private companion object {
        // Ten times the contexts that the data sheets of today's deployments name.
        const val DEFAULT_CAPACITY = 8_192

        // Runs of long prompts take three seconds under load, during which their parts cannot be dropped.
        const val RUN_MILLIS = 3_000L

        // A run may end early or fail, and its parts with it.
        const val RUNNING_SHARE = 0.9

        // Under load an engine fills its memory with other prompts in about this time.
        const val RETENTION_MILLIS = 4_000.0
        const val LIFE_MILLIS = 20_000L
    }
}
