package org.parsleymoor.relay.routing

import org.parsleymoor.core.sha256Hex

/** Finds routes and organisations of one [configuration]. */
public class RouteTable(public val configuration: ServingConfiguration) {
    private val routesByHost = configuration.routes
        .groupBy { it.host.lowercase() }
        .mapValues { (_, routes) -> routes.sortedByDescending { it.pathPrefix.length } }
    private val organisationsByKey =
        configuration.organisations.orEmpty().flatMap { one -> one.keys.map { it to one } }.toMap()

    /**
     * Part of the name space of shared blocks that changes with the set of isolated organisations, because blocks that
     * an organisation made before it was isolated must not be found afterwards. Empty while none is isolated.
     */
    public val isolationTag: String = configuration.organisations.orEmpty().filter { it.isolated }
        .map { it.id.value }.sorted().takeIf { it.isNotEmpty() }
        ?.let { "/" + it.joinToString(",").encodeToByteArray().sha256Hex().take(TAG_DIGITS) }.orEmpty()

    /** Returns the route with the longest prefix of [path] among those of [host]; a port in [host] is ignored. */
    public fun route(host: String, path: String): Route? =
        routesByHost[host.substringBefore(':').lowercase()]?.firstOrNull { path.startsWith(it.pathPrefix) }

    /** Returns the organisation that holds [key]. */
    public fun organisation(key: String): Organisation? = organisationsByKey[key]

    /** Picks one of the services of [route]; [draw] is uniform in 0 until 1. */
    public fun service(route: Route, draw: Double): Service? {
        var rest = draw * route.targets.sumOf { it.weight }
        val target = route.targets.firstOrNull { share ->
            rest -= share.weight
            rest < 0
        } ?: route.targets.lastOrNull()
        return target?.let { configuration.services[it.service] }
    }

    private companion object {
        // 64 bits of the digest: two sets of organisations do not share a tag by chance.
        const val TAG_DIGITS = 16
    }
}
