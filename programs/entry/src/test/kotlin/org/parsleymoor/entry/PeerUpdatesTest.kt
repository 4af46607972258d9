package org.parsleymoor.entry

import org.junit.jupiter.api.Test
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.ModelId
import org.parsleymoor.core.ZoneId
import org.parsleymoor.entry.control.applyPeerUpdate
import org.parsleymoor.entry.control.toMessage
import org.parsleymoor.entry.control.toUpdates
import org.parsleymoor.entry.serving.DeploymentView
import org.parsleymoor.entry.serving.oldestWeights
import org.parsleymoor.relay.cache.ContextKey
import org.parsleymoor.relay.cache.EngineIncarnation
import org.parsleymoor.relay.exchange.ForwardScope
import org.parsleymoor.relay.exchange.PeerUpdate
import org.parsleymoor.relay.fleet.EndpointEntry
import org.parsleymoor.relay.fleet.EngineLoad
import org.parsleymoor.relay.fleet.SentPrompt
import org.parsleymoor.relay.fleet.SocketAddress
import org.parsleymoor.relay.quarantine.ContentKey
import org.parsleymoor.relay.quarantine.EndpointCrash
import org.parsleymoor.relay.quarantine.QuarantinedContent
import org.parsleymoor.relay.quarantine.UnansweredRequest
import org.parsleymoor.relay.routing.CallerLimits
import org.parsleymoor.relay.routing.EngineSpec
import org.parsleymoor.relay.routing.RouteTable
import org.parsleymoor.relay.routing.Service
import org.parsleymoor.relay.routing.ServingConfiguration
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isNull

class PeerUpdatesTest {
    private val model = ModelId("m")
    private val deployment = DeploymentView(InstanceId("self")).also { it.routes = RouteTable(configuration()) }

    // Otherwise, while the object store is unreachable, an instance expects the weights of its last list at the engine,
    // which refuses the request.
    @Test
    fun `the load report that a peer sends updates the weights of the engine`() {
        val engine = engine("e", weights = 1)
        val load = EngineLoad(1, 0, 0, memoryUsed = 10, memoryTotal = 100, atMillis = 1_000)
        receive(PeerUpdate.Load(engine, load, mapOf(model to 2L)), sentMillis = 1_050, receivedMillis = 5_000)
        expectThat(deployment.endpoints[engine]?.weights(model)).isEqualTo(2L)
        expectThat(deployment.endpoints[engine]?.engineLoad?.atMillis).isEqualTo(4_950L)
    }

    @Test
    fun `a context that a peer has sent to an engine counts as cached there`() {
        val engine = engine("e", weights = 1)
        val key = ContextKey.of("space", "part")
        val prompt = SentPrompt(atMillis = 950, tokens = 100, prefillTokens = 100, context = key)
        receive(PeerUpdate.Sent(InstanceId("peer"), engine, prompt), sentMillis = 1_000, receivedMillis = 1_000)
        val state = deployment.endpoints[engine]!!
        expectThat(deployment.contexts.cachedProbability(key, state.incarnation, 1_000)).isGreaterThan(0.5)
    }

    // A report read before a rollout may arrive after it; requests would then expect the older weights.
    @Test
    fun `an older report of a peer does not replace newer weights`() {
        val engine = engine("e", weights = 1)
        val load = EngineLoad(1, 0, 0, memoryUsed = 10, memoryTotal = 100, atMillis = 1_000)
        receive(PeerUpdate.Load(engine, load, mapOf(model to 3L)), sentMillis = 1_000, receivedMillis = 1_010)
        receive(
            PeerUpdate.Load(engine, load.copy(atMillis = 900), mapOf(model to 2L)),
            sentMillis = 1_000,
            receivedMillis = 1_020
        )
        expectThat(deployment.endpoints[engine]?.weights(model)).isEqualTo(3L)
    }

    // Otherwise an instance counts its own prompt twice when a hub sends it back.
    @Test
    fun `a prompt that a hub sends back to its origin is not counted again`() {
        val engine = engine("e", weights = 1)
        val key = ContextKey.of("space", "part")
        val prompt = SentPrompt(atMillis = 950, tokens = 100, prefillTokens = 100, context = key)
        receive(PeerUpdate.Sent(deployment.self, engine, prompt), sentMillis = 1_000, receivedMillis = 1_000)
        expectThat(
            deployment.contexts.cachedProbability(key, deployment.endpoints[engine]!!.incarnation, 1_000)
        ).isEqualTo(0.0)
    }

    // Otherwise each instance has to see as many endpoints crash as one alone would.
    @Test
    fun `crashes that peers report quarantine a prompt part, and the answer that a peer reports releases it`() {
        val bad = setOf(ContentKey(1))
        repeat(3) { receive(crash("e$it", bad, atMillis = 1_000L * (it + 1)), 3_020, 3_040) }
        expectThat(deployment.quarantine.assess(bad, 3_050).map { it.key }).isEqualTo(bad.toList())
        receive(PeerUpdate.Answered(bad, atMillis = 3_060), 3_070, 3_080)
        expectThat(deployment.quarantine.contents).isEmpty()
    }

    // Otherwise each instance has to see three endpoints crash on a request.
    @Test
    fun `crashes that peers report quarantine a request, and how it is probed is told too`() {
        val bad = ContentKey(1)
        val crashes = List(3) { number ->
            val other = crash("e$number", emptySet(), 1_000L * (number + 1), request = ContentKey(10L + number))
            listOf(crash("e$number", emptySet(), 1_000L * (number + 1), request = bad), other)
        }
        crashes.flatten().forEach { receive(it, 3_020, 3_040) }
        val entry = deployment.quarantine.assess(setOf(bad), 3_050).single()
        expectThat(entry).isEqualTo(QuarantinedContent(bad, setOf(bad), lastCrashMillis = 3_020, ambiguous = true))
        receive(PeerUpdate.Answered(setOf(bad), atMillis = 3_060), 3_070, 3_080)
        expectThat(deployment.quarantine.contents).isEmpty()
        val told = entry.copy(lastCrashMillis = 4_000, release = "v1")
        receive(PeerUpdate.Quarantined(told), 4_000, 4_000)
        expectThat(deployment.quarantine.contents).containsExactly(told)
    }

    // Hubs send an update back to the zone that it came from.
    @Test
    fun `a crash that a hub sends back to its origin is not recorded again`() {
        val bad = setOf(ContentKey(1))
        repeat(3) {
            receive(crash("e$it", bad, atMillis = 1_000L * (it + 1), origin = deployment.self), 3_020, 3_040)
        }
        expectThat(deployment.quarantine.assess(bad, 3_050)).isEmpty()
    }

    // An instance that starts or was cut off has seen none of the crashes.
    @Test
    fun `a quarantine that a peer reports is applied, and refuted when the part was answered since`() {
        val entry = QuarantinedContent(ContentKey(1), setOf(ContentKey(1)), lastCrashMillis = 1_000, failedProbes = 1)
        val announced = ArrayList<PeerUpdate>()
        deployment.announce = { announced += it }
        receive(PeerUpdate.Quarantined(entry), sentMillis = 1_500, receivedMillis = 5_000)
        expectThat(deployment.quarantine.contents).isEqualTo(listOf(entry.copy(lastCrashMillis = 4_500)))
        deployment.quarantine.recordAnswer(setOf(entry.key), 6_000)
        receive(PeerUpdate.Quarantined(entry), sentMillis = 3_000, receivedMillis = 6_500)
        expectThat(deployment.quarantine.contents).isEmpty()
        expectThat(announced).containsExactly(PeerUpdate.Answered(setOf(entry.key), 6_000))
    }

    // Cached parts for older weights are freed: a guess could free parts that an engine still fetches.
    @Test
    fun `the oldest weights are those of the engine furthest behind, and unknown if those of any engine are`() {
        engine("new", weights = 3)
        engine("old", weights = 2)
        expectThat(deployment.oldestWeights(model)).isEqualTo(2L)
        engine("unknown", weights = null)
        expectThat(deployment.oldestWeights(model)).isNull()
    }

    private fun crash(
        endpoint: String,
        parts: Set<ContentKey>,
        atMillis: Long,
        origin: InstanceId = InstanceId("peer"),
        request: ContentKey? = null,
    ) = PeerUpdate.Crashed(
        origin,
        EndpointCrash(
            EngineIncarnation(EndpointId(endpoint), startMillis = null),
            atMillis,
            UnansweredRequest(parts, sentMillis = atMillis - 200, responding = parts.isNotEmpty(), request),
        ),
    )

    private fun receive(update: PeerUpdate, sentMillis: Long, receivedMillis: Long) {
        listOf(update).toMessage(ForwardScope.NOBODY, sentMillis).toUpdates(receivedMillis)
            .forEach { deployment.applyPeerUpdate(it, receivedMillis) }
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
        deployment.endpoints.put(entry, 0)
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
