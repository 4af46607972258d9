package org.parsleymoor.relay.routing

import org.parsleymoor.core.OrganisationId
import org.parsleymoor.core.sha256Hex

/** Looks up the routes and organisations of one [configuration]. */
public class RouteTable(public val configuration: ServingConfiguration) {
    private val routesByHost = configuration.routes
        .groupBy { it.host.lowercase() }
        .mapValues { (_, routes) -> routes.sortedByDescending { it.pathPrefix.length } }
    private val routesByName = configuration.routes.associateBy { it.name }
    private val organisationsById = configuration.organisations.orEmpty().associateBy { it.id }
    private val organisationsByKey =
        configuration.organisations.orEmpty().flatMap { owner -> owner.keys.map { it to owner } }.toMap()

    /**
     * Suffix of cache namespaces that changes with the set of isolated organisations, because blocks that an
     * organisation created before it was isolated must not be found afterwards. Empty while none is isolated.
     */
    public val isolationTag: String = configuration.organisations.orEmpty().filter { it.isolated }
        .map { it.id.value }.sorted().takeIf { it.isNotEmpty() }
        ?.let { "/" + it.joinToString(",").encodeToByteArray().sha256Hex().take(TAG_DIGITS) }.orEmpty()

    /** Returns the route of [host] with the longest prefix of [path]; a port in [host] is ignored. */
    public fun route(host: String, path: String): Route? =
        routesByHost[host.substringBefore(':').lowercase()]?.firstOrNull { path.startsWith(it.pathPrefix) }

    /** Returns the route called [name]. */
    public fun routeNamed(name: String): Route? = routesByName[name]

    /** Returns the organisation [id]. */
    public fun organisation(id: OrganisationId): Organisation? = organisationsById[id]

    /** Returns the organisation with the API key [key]. */
    public fun organisation(key: String): Organisation? = organisationsByKey[key]

    /** Selects a service of [route] in proportion to the weights; [sample] is uniformly random in [0, 1). */
    public fun service(route: Route, sample: Double): Service? {
        var remaining = sample * route.targets.sumOf { it.weight }
        val target = route.targets.firstOrNull { target ->
            remaining -= target.weight
            remaining < 0
        } ?: route.targets.lastOrNull()
        return target?.let { configuration.services[it.service] }
    }

    private companion object {
        // 64 bits of the digest make a collision between two sets of organisations negligible.
        const val TAG_DIGITS = 16
    }
}
