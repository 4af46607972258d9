package org.parsleymoor.relay.cache

import org.junit.jupiter.api.Test
import org.parsleymoor.core.EndpointId
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNotEqualTo

class RecentContextsTest {
    private val contexts = RecentContexts(capacity = 2)
    private val engine = EngineIncarnation(EndpointId("e"), startMillis = 1)
    private val key = ContextKey.of("space", "part")

    @Test
    fun `an engine probably holds a context while its request runs, and decreasingly afterwards`() {
        contexts.record(key, engine, 0)
        val running = contexts.cachedProbability(key, engine, 1_000)
        val later = contexts.cachedProbability(key, engine, 10_000)
        expectThat(running).isGreaterThan(0.8)
        expectThat(later).isGreaterThan(0.0).isLessThan(running / 2)
    }

    // A restarted engine has lost its cache, so a fetch from it, or a placement that counts on it, would fail.
    @Test
    fun `another start of the engine, another engine and another namespace hold nothing`() {
        contexts.record(key, engine, 0)
        expectThat(contexts.cachedProbability(key, engine.copy(startMillis = 2), 100)).isEqualTo(0.0)
        expectThat(contexts.cachedProbability(key, engine.copy(endpoint = EndpointId("f")), 100)).isEqualTo(0.0)
        expectThat(ContextKey.of("other", "part")).isNotEqualTo(key)
        expectThat(contexts.cachedProbability(ContextKey.of("other", "part"), engine, 100)).isEqualTo(0.0)
    }

    @Test
    fun `the least recently used context is evicted first`() {
        val second = ContextKey.of("space", "second")
        contexts.record(key, engine, 0)
        contexts.record(second, engine, 1)
        contexts.record(key, engine, 2)
        contexts.record(ContextKey.of("space", "third"), engine, 3)
        expectThat(contexts.cachedProbability(second, engine, 100)).isEqualTo(0.0)
        expectThat(contexts.cachedProbability(key, engine, 100)).isGreaterThan(0.0)
    }

    // A peer's message that arrives late must not make a context look older than it is.
    @Test
    fun `an older report does not replace a newer one`() {
        contexts.record(key, engine, 5_000)
        contexts.record(key, engine, 0)
        expectThat(contexts.cachedProbability(key, engine, 6_000)).isGreaterThan(0.8)
    }
}
