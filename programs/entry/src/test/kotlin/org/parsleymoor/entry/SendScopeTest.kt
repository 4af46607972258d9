package org.parsleymoor.entry

import org.junit.jupiter.api.Test
import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.ModelId
import org.parsleymoor.core.OrganisationId
import org.parsleymoor.core.RegionId
import org.parsleymoor.core.RequestId
import org.parsleymoor.entry.callers.CallerRequest
import org.parsleymoor.entry.serving.Caller
import org.parsleymoor.entry.serving.DeploymentView
import org.parsleymoor.entry.serving.PendingRequest
import org.parsleymoor.entry.serving.SendScope
import org.parsleymoor.entry.serving.sendScope
import org.parsleymoor.relay.http.HeaderFields
import org.parsleymoor.relay.http.HeldBody
import org.parsleymoor.relay.http.RequestHead
import org.parsleymoor.relay.limits.HeldBytes
import org.parsleymoor.relay.prompt.PromptContext
import org.parsleymoor.relay.prompt.cacheNamespace
import org.parsleymoor.relay.routing.CallerLimits
import org.parsleymoor.relay.routing.Organisation
import org.parsleymoor.relay.routing.RequestKind
import org.parsleymoor.relay.routing.Route
import org.parsleymoor.relay.routing.RouteTable
import org.parsleymoor.relay.routing.RouteTarget
import org.parsleymoor.relay.routing.Service
import org.parsleymoor.relay.routing.ServingConfiguration
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotEqualTo
import strikt.assertions.isTrue

/**
 * What restricts a request that is sent under another configuration than the one with which it was accepted. Guards
 * against one send that combines two configurations, so that organisations share cached blocks, or a request leaves its
 * regions.
 */
class SendScopeTest {
    @Test
    fun `an organisation that became isolated after the request was accepted is isolated`() {
        expectThat(scope(accepted = config(), current = config(isolated = setOf("a"))).isolated).isTrue()
    }

    // What it sent while it was isolated must not be found by others either.
    @Test
    fun `an organisation that was isolated when the request was accepted stays isolated`() {
        expectThat(scope(accepted = config(isolated = setOf("a")), current = config()).isolated).isTrue()
    }

    @Test
    fun `an organisation that no longer exists is isolated`() {
        expectThat(scope(config(), config(organisations = setOf("b"))).isolated).isTrue()
        expectThat(scope(config(), config(organisations = null)).isolated).isTrue()
    }

    @Test
    fun `a request whose configuration is unchanged shares with its group`() {
        val configuration = config(isolated = setOf("b"))
        val scope = scope(configuration, configuration)
        expectThat(scope.isolated).isFalse()
        expectThat(scope.isolationTag).isEqualTo(RouteTable(configuration).isolationTag)
    }

    @Test
    fun `a request has to satisfy the regions of both configurations`() {
        val north = setOf(RegionId("north"))
        val south = setOf(RegionId("south"))
        expectThat(scope(config(regions = north), config(regions = north)).allowedRegions).isEqualTo(listOf(north))
        expectThat(scope(config(regions = north), config(regions = south)).allowedRegions)
            .isEqualTo(listOf(north, south))
        expectThat(scope(config(), config(routeRegions = south)).allowedRegions).isEqualTo(listOf(south))
        expectThat(scope(config(regions = north), config(organisations = setOf("b"))).allowedRegions)
            .isEqualTo(listOf(north))
    }

    // A resumed stream of an organisation that had become isolated was cached where others found it. Instances may also
    // know different configurations, or older ones after a restore of the store.
    @Test
    fun `requests of two organisations share a namespace only if neither is isolated in a configuration of the two`() {
        for (first in CHANGES) for (second in CHANGES) {
            if (namespace("a", first) != namespace("b", second)) continue
            expectThat("a" in first.first + first.second + second.second).describedAs("a in $first, $second").isFalse()
            expectThat("b" in second.first + second.second + first.second).describedAs("b in $first, $second").isFalse()
        }
    }

    @Test
    fun `requests of one moment share a namespace while none of their organisations is isolated`() {
        val unchanged = setOf("c") to setOf("c")
        expectThat(namespace("a", unchanged)).isEqualTo(namespace("b", unchanged))
        expectThat(namespace("a", unchanged)).isNotEqualTo(namespace("c", unchanged))
    }

    /** The namespace of a prompt of [organisation]; [change] has the sets isolated at its acceptance and its send. */
    private fun namespace(organisation: String, change: Pair<Set<String>, Set<String>>): String {
        val scope = scope(config(isolated = change.first), config(isolated = change.second), organisation)
        return cacheNamespace(ModelId("m"), 1, OrganisationId(organisation), scope.isolated) + scope.isolationTag
    }

    private fun scope(
        accepted: ServingConfiguration,
        current: ServingConfiguration,
        organisation: String = "a",
    ): SendScope {
        val pending = PendingRequest(
            id = RequestId("1"),
            request = CallerRequest(RequestHead("POST", "/r/x", HeaderFields(emptyList())), HeldBody(HeldBytes(1)), 0),
            route = accepted.routes.single(),
            service = SERVICE,
            caller = Caller(accepted.organisations?.single { it.id.value == organisation }, true, 1_000),
            prompt = PromptContext.parse("m", "3,1", "p:2,q:1"),
        )
        return DeploymentView(InstanceId("i")).also { it.routes = RouteTable(current) }.sendScope(pending)
    }

    private fun config(
        isolated: Set<String> = emptySet(),
        organisations: Set<String>? = NAMED,
        regions: Set<RegionId> = emptySet(),
        routeRegions: Set<RegionId> = emptySet(),
    ) = ServingConfiguration(
        version = 1,
        routes = listOf(
            Route(
                name = "r",
                host = "h",
                pathPrefix = "/r/",
                kind = RequestKind.STREAM,
                targets = listOf(RouteTarget(SERVICE.name, 1.0)),
                timeoutMillis = 1_000,
                objectiveMillis = 1_000,
                allowedRegions = routeRegions,
            ),
        ),
        services = mapOf(SERVICE.name to SERVICE),
        organisations = organisations?.map {
            Organisation(OrganisationId(it), setOf(it), isolated = it in isolated, allowedRegions = regions)
        },
        limits = CallerLimits(),
    )

    private companion object {
        val SERVICE = Service("s", connectionLimit = 1, coldMillis = 0, coldRequestsPerSecond = 0.0)
        val NAMED = setOf("a", "b", "c")
        val ISOLATED = listOf(emptySet(), setOf("a"), setOf("b"), setOf("c"), setOf("a", "b"), setOf("a", "c"), NAMED)

        /** Isolated organisations when a request was accepted, and when it was sent. */
        val CHANGES = ISOLATED.flatMap { accepted -> ISOLATED.map { accepted to it } }
    }
}
