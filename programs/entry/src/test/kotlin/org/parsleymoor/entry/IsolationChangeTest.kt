package org.parsleymoor.entry

import org.junit.jupiter.api.Test
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.ModelId
import org.parsleymoor.core.OrganisationId
import org.parsleymoor.entry.serving.DeploymentView
import org.parsleymoor.relay.exchange.PeerUpdate
import org.parsleymoor.relay.placement.TargetWeights
import org.parsleymoor.relay.routing.EngineSpec
import org.parsleymoor.relay.routing.Organisation
import org.parsleymoor.relay.routing.RequestKind
import org.parsleymoor.relay.routing.RouteTable
import org.parsleymoor.relay.routing.ServingConfiguration
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.endsWith
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import strikt.assertions.startsWith
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch

/** Prompts of an organisation that becomes isolated, at real connections. */
class IsolationChangeTest {
    // It was cached in the group of the former configuration under the tag of the new one, where others found it.
    @Test
    fun `a stream that is resumed after its organisation became isolated shares no namespace with others`() {
        val begun = CountDownLatch(1)
        val changed = CountDownLatch(1)
        val endpoints = Array(2) {
            ScriptedEndpoint { socket, _, request ->
                if ("Last-Event-Id" in request || "Org: other" in request) {
                    socket.send(STREAM_HEAD + event(2, "b") + STREAM_END)
                } else {
                    socket.send(STREAM_HEAD + event(1, "a"))
                    begun.countDown()
                    changed.await()
                    socket.reset()
                }
            }
        }
        harness(*endpoints).use { harness ->
            val answer = CompletableFuture.supplyAsync { harness.exchange(relayRequest(PROMPT_FIELDS)) }
            begun.await()
            harness.configure { it.isolating("org") }
            changed.countDown()
            expectThat(answer.get()).contains("data: a").contains("data: b").endsWith(STREAM_END)
            harness.exchange(relayRequest(PROMPT_FIELDS).replace("Key secret", "Key other-secret"))
            val requests = endpoints.flatMap { it.requests }
            val first = namespaces(requests.filter { "Org: org" in it && "Last-Event-Id" !in it }).single()
            val resumed = namespaces(requests.filter { "Last-Event-Id" in it }).single()
            val other = namespaces(requests.filter { "Org: other" in it }).single()
            expectThat(first).isEqualTo("shared/m/1")
            expectThat(resumed).isNotEqualTo(first).isNotEqualTo(other).startsWith("organisation-org/m/1")
            expectThat(harness.logged("request.scopeChanged")).hasSize(1)
            expectThat(harness.metrics.prometheusText()).contains("parsleymoor_request_scope_changes_total 1")
        }
    }

    // The namespace is chosen with the endpoint, before a connection is opened.
    @Test
    fun `a prompt is not sent in a namespace of a configuration that was replaced meanwhile`() {
        val endpoints = Array(2) { ScriptedEndpoint { socket, _, _ -> socket.send(STREAM_HEAD + STREAM_END) } }
        harness(*endpoints).use { harness ->
            harness.onEventLoop { deployment ->
                deployment.announce = { update ->
                    // Published when the connection is open, before anything is sent.
                    if (update is PeerUpdate.Sent) deployment.isolate("org")
                }
            }
            expectThat(harness.exchange(relayRequest(PROMPT_FIELDS))).startsWith("HTTP/1.1 200")
            expectThat(namespaces(endpoints.flatMap { it.requests }).single()).startsWith("organisation-org/m/1")
            expectThat(harness.logged("request.attempt").filter { "the configuration changed" in it }).hasSize(1)
        }
    }

    private fun namespaces(requests: List<String>): List<String> =
        requests.map { Regex("\r\nSpace: (\\S+)").find(it)?.groupValues?.get(1).orEmpty() }

    private fun harness(vararg endpoints: ScriptedEndpoint): RelayHarness {
        val harness =
            RelayHarness(*endpoints, kind = RequestKind.STREAM, resumable = true, timeoutMillis = 6_000)
        harness.configure { configuration ->
            val engine = EngineSpec(slots = 4, cacheTokens = 1_000, tokenBytes = 1, models = listOf("m"))
            val other = Organisation(OrganisationId("other"), setOf("other-secret"))
            configuration.copy(
                services = configuration.services.mapValues { it.value.copy(engine = engine) },
                organisations = configuration.organisations.orEmpty() + other,
            )
        }
        harness.onEventLoop { deployment ->
            deployment.weights = mapOf(ModelId("m") to TargetWeights(ModelId("m"), version = 1, sinceMillis = 0))
            endpoints.indices.mapNotNull { deployment.endpoints[EndpointId("e$it")] }.forEach { state ->
                deployment.endpoints.put(state.entry.copy(weights = mapOf(ModelId("m") to 1L)), 0)
            }
        }
        return harness
    }

    private fun DeploymentView.isolate(name: String) {
        val configuration = checkNotNull(routes).configuration
        routes = RouteTable(configuration.isolating(name).copy(version = configuration.version + 1))
    }

    private fun ServingConfiguration.isolating(name: String): ServingConfiguration = copy(
        organisations = organisations?.map { if (it.id.value == name) it.copy(isolated = true) else it },
    )
}
