package org.parsleymoor.configuration

import com.github.michaelbull.result.get
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.Labels
import org.parsleymoor.core.ModelId
import org.parsleymoor.core.Selector

/** Labels that the system sets on every endpoint; a declaration may not set them. */
public val ReservedLabels: Set<String> = setOf("name", "kind", "zone", "region", "state")

/** Returns the labels that selectors match: the declared ones and the [ReservedLabels], with the effective `state`. */
public fun Configuration.labelsOf(endpoint: EndpointDeclaration): Labels {
    val region = zones.firstOrNull { it.name == endpoint.zone }?.region?.value.orEmpty()
    return Labels.of(endpoint.labels)
        .with("name", endpoint.name.value)
        .with("kind", endpoint.kind.name.lowercase())
        .with("zone", endpoint.zone.value)
        .with("region", region)
        .with("state", effectiveStateOf(endpoint).name.lowercase())
}

/** Returns the stricter of the endpoint's state and its zone's state. */
public fun Configuration.effectiveStateOf(endpoint: EndpointDeclaration): PlacementState {
    val zone = zones.firstOrNull { it.name == endpoint.zone }
    return maxOf(endpoint.state, zone?.state ?: PlacementState.IN)
}

/** Returns whether the endpoint and its zone are in service, so that new work may be sent to it. */
public fun Configuration.takesNewWork(endpoint: EndpointDeclaration): Boolean =
    effectiveStateOf(endpoint) == PlacementState.IN

/** Returns the endpoints of [kind] that the [selector] matches; an invalid selector matches none. */
public fun Configuration.endpointsMatching(kind: EndpointKind, selector: String): List<EndpointDeclaration> {
    val parsed = Selector.parse(selector).get() ?: return emptyList()
    return endpoints.filter { it.kind == kind && parsed.matches(labelsOf(it)) }
}

/** Returns the engines that may serve [model], whether in service or not. */
public fun Configuration.enginesOf(model: ModelId): List<EndpointDeclaration> =
    models.firstOrNull { it.name == model }?.let { endpointsMatching(EndpointKind.ENGINE, it.selector) }.orEmpty()

/** Returns the engines that a rollout updates: those of its model that its selector matches as well. */
public fun Configuration.enginesOf(rollout: RolloutDeclaration): List<EndpointDeclaration> {
    val ofModel: Set<EndpointId> = enginesOf(rollout.model).map { it.name }.toSet()
    return endpointsMatching(EndpointKind.ENGINE, rollout.selector).filter { it.name in ofModel }
}
