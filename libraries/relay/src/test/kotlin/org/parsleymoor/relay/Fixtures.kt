package org.parsleymoor.relay

import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.ModelId
import org.parsleymoor.core.OrganisationId
import org.parsleymoor.core.RegionId
import org.parsleymoor.core.ZoneId
import org.parsleymoor.relay.fleet.EndpointEntry
import org.parsleymoor.relay.fleet.EndpointTable
import org.parsleymoor.relay.fleet.EngineLoad
import org.parsleymoor.relay.fleet.SocketAddress
import org.parsleymoor.relay.fleet.replaceAll
import org.parsleymoor.relay.placement.PlacementQuery
import org.parsleymoor.relay.placement.Topology
import org.parsleymoor.relay.prompt.PromptContext
import org.parsleymoor.relay.prompt.PromptPart
import org.parsleymoor.relay.routing.CallerLimits
import org.parsleymoor.relay.routing.Organisation
import org.parsleymoor.relay.routing.RequestKind
import org.parsleymoor.relay.routing.Route
import org.parsleymoor.relay.routing.RouteTarget
import org.parsleymoor.relay.routing.ServingConfiguration

internal val MODEL = ModelId("m")

internal val TOPOLOGY = Topology(
    zone = ZoneId("a"),
    regions = mapOf(
        ZoneId("a") to RegionId("north"),
        ZoneId("b") to RegionId("north"),
        ZoneId("c") to RegionId("south")
    ),
)

internal fun entry(name: String, zone: String = "a", weights: Long = 1, draining: Boolean = false) =
    EndpointEntry(
        id = EndpointId(name),
        service = "engines",
        address = SocketAddress("10.0.0.${name.hashCode() and 127}", 80),
        zone = ZoneId(zone),
        draining = draining,
        slots = 64,
        startMillis = 1,
        weights = mapOf(MODEL to weights),
    )

internal fun engines(count: Int, nowMillis: Long = 0): EndpointTable {
    val table = EndpointTable()
    table.replaceAll((1..count).map { entry("engine-$it", zone = "abc"[it % 3].toString()) }, nowMillis)
    return table
}

internal fun load(memoryUsed: Long, atMillis: Long, waiting: Int = 0) =
    EngineLoad(running = 1, waiting, prefilling = 0, memoryUsed, memoryTotal = 100_000, atMillis)

internal fun prompt(session: String, shared: Long = 8_600, own: Long = 2_900) = PromptContext(
    model = MODEL,
    promptTokens = shared + own,
    outputTokens = 64,
    parts = listOf(PromptPart(session, shared), PromptPart("own", own)),
)

internal fun placementQuery(isRetry: Boolean = false) = PlacementQuery(
    service = "engines",
    allowedRegions = emptyList(),
    remainingMillis = 15_000,
    objectiveMillis = 1_000,
    urgency = 1,
    isRetry = isRetry,
)

internal fun route(name: String, prefix: String, host: String = "h") = Route(
    name = name,
    host = host,
    pathPrefix = prefix,
    kind = RequestKind.IDEMPOTENT,
    targets = listOf(RouteTarget("s", 1.0)),
    timeoutMillis = 1_000,
    objectiveMillis = 100,
)

internal fun configuration(routes: List<Route>, isolated: Set<String> = emptySet()) = ServingConfiguration(
    version = 1,
    routes = routes,
    services = emptyMap(),
    organisations = listOf(
        "x",
        "y"
    ).map { Organisation(OrganisationId(it), setOf("key-$it"), isolated = it in isolated) },
    limits = CallerLimits(),
)
