package org.parsleymoor.entry

import org.junit.jupiter.api.Test
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.ModelId
import org.parsleymoor.core.ZoneId
import org.parsleymoor.entry.control.learn
import org.parsleymoor.entry.control.news
import org.parsleymoor.entry.control.toMessage
import org.parsleymoor.entry.serving.Beliefs
import org.parsleymoor.entry.serving.oldestWeights
import org.parsleymoor.relay.cache.ContextKey
import org.parsleymoor.relay.exchange.ForwardScope
import org.parsleymoor.relay.exchange.PeerUpdate
import org.parsleymoor.relay.fleet.EndpointEntry
import org.parsleymoor.relay.fleet.EngineLoad
import org.parsleymoor.relay.fleet.SentPrompt
import org.parsleymoor.relay.fleet.SocketAddress
import org.parsleymoor.relay.routing.CallerLimits
import org.parsleymoor.relay.routing.EngineSpec
import org.parsleymoor.relay.routing.RouteTable
import org.parsleymoor.relay.routing.Service
import org.parsleymoor.relay.routing.ServingConfiguration
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isNull

class SharedBeliefsTest {
    private val model = ModelId("m")
    private val beliefs = Beliefs(InstanceId("self")).also { it.routes = RouteTable(configuration()) }

    // While the store is away, an instance would go on to expect the weights of its last list and be refused.
    @Test
    fun `the weights of an engine reach an instance with the load that a peer has read`() {
        val engine = engine("e", weights = 1)
        val load = EngineLoad(1, 0, 0, memoryUsed = 10, memoryTotal = 100, atMillis = 1_000)
        told(PeerUpdate.Load(engine, load, mapOf(model to 2L)), sentMillis = 1_050, arrivedMillis = 5_000)
        expectThat(beliefs.endpoints[engine]?.weights(model)).isEqualTo(2L)
        expectThat(beliefs.endpoints[engine]?.engineLoad?.atMillis).isEqualTo(4_950L)
    }

    @Test
    fun `a context that a peer has sent to an engine is expected there`() {
        val engine = engine("e", weights = 1)
        val key = ContextKey.of("space", "part")
        val prompt = SentPrompt(atMillis = 950, tokens = 100, prefillTokens = 100, context = key)
        told(PeerUpdate.Sent(InstanceId("peer"), engine, prompt), sentMillis = 1_000, arrivedMillis = 1_000)
        val state = beliefs.endpoints[engine]!!
        expectThat(beliefs.contexts.cachedProbability(key, state.incarnation, 1_000)).isGreaterThan(0.5)
    }

    // A report that was read before a rollout ended may arrive after it, and prompts would expect the older weights.
    @Test
    fun `weights that a peer read earlier do not replace newer ones`() {
        val engine = engine("e", weights = 1)
        val load = EngineLoad(1, 0, 0, memoryUsed = 10, memoryTotal = 100, atMillis = 1_000)
        told(PeerUpdate.Load(engine, load, mapOf(model to 3L)), sentMillis = 1_000, arrivedMillis = 1_010)
        told(
            PeerUpdate.Load(engine, load.copy(atMillis = 900), mapOf(model to 2L)),
            sentMillis = 1_000,
            arrivedMillis = 1_020
        )
        expectThat(beliefs.endpoints[engine]?.weights(model)).isEqualTo(3L)
    }

    // An instance that gets its own prompt back from a hub would count it twice.
    @Test
    fun `a prompt that comes back from a hub is not counted again`() {
        val engine = engine("e", weights = 1)
        val key = ContextKey.of("space", "part")
        val prompt = SentPrompt(atMillis = 950, tokens = 100, prefillTokens = 100, context = key)
        told(PeerUpdate.Sent(beliefs.self, engine, prompt), sentMillis = 1_000, arrivedMillis = 1_000)
        expectThat(
            beliefs.contexts.cachedProbability(key, beliefs.endpoints[engine]!!.incarnation, 1_000)
        ).isEqualTo(0.0)
    }

    // Parts are freed that are older than these weights: a guess would free what an engine still fetches.
    @Test
    fun `the oldest weights are those of the engine that is furthest behind, and unknown with one engine's`() {
        engine("new", weights = 3)
        engine("old", weights = 2)
        expectThat(beliefs.oldestWeights(model)).isEqualTo(2L)
        engine("unknown", weights = null)
        expectThat(beliefs.oldestWeights(model)).isNull()
    }

    private fun told(news: PeerUpdate, sentMillis: Long, arrivedMillis: Long) {
        listOf(news).toMessage(ForwardScope.NOBODY, sentMillis).news(arrivedMillis)
            .forEach { beliefs.learn(it, arrivedMillis) }
    }

    private fun engine(name: String, weights: Long?): EndpointId {
        val entry = EndpointEntry(
            id = EndpointId(name),
            service = "engines",
            address = SocketAddress("10.0.0.1", 80),
            zone = ZoneId("a"),
            draining = false,
            slots = 64,
            weights = weights?.let { mapOf(model to it) }.orEmpty(),
        )
        beliefs.endpoints.put(entry, 0)
        return entry.id
    }

    private fun configuration() = ServingConfiguration(
        version = 1,
        routes = emptyList(),
        services = mapOf(
            "engines" to Service(
                name = "engines",
                connectionLimit = 10,
                coldMillis = 0,
                coldRequestsPerSecond = 0.0,
                engine = EngineSpec(slots = 64, cacheTokens = 1_000, tokenBytes = 1, models = listOf("m")),
            ),
        ),
        organisations = null,
        limits = CallerLimits(),
    )
}
