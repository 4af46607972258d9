package org.parsleymoor.configuration

import org.parsleymoor.core.ModelId

/** Finds the dangers of a change. An initial configuration has none, since nothing is in service yet. */
internal class DangerCheck(
    private val before: Configuration,
    private val after: Configuration,
    private val changes: List<ConfigurationChange>,
) {
    private val changed = changes.map { it.item }.toSet()

    fun dangers(demand: List<ModelDemand>): List<Danger> {
        if (changes.isEmpty()) return emptyList()
        return lastZone() + noneLeft() + selectors() + capacity(demand) + removed() + versions()
    }

    private fun lastZone(): List<Danger> {
        val inService = before.zones.filter { it.state == PlacementState.IN }
        val left = after.zones.any { it.state == PlacementState.IN }
        return if (inService.isEmpty() || left) {
            emptyList()
        } else {
            listOf(
                Danger.LastZone(inService.map { it.name.value })
            )
        }
    }

    private fun noneLeft(): List<Danger> {
        val models = after.models.mapNotNull { model ->
            noneLeft(ItemKind.MODEL, model.name.value, before.enginesOf(model.name), after.enginesOf(model.name))
        }
        val services = after.services.mapNotNull { service ->
            noneLeft(ItemKind.SERVICE, service.name, before.replicasOf(service.name), after.replicasOf(service.name))
        }
        return models + services
    }

    private fun noneLeft(
        kind: ItemKind,
        name: String,
        old: List<EndpointDeclaration>,
        new: List<EndpointDeclaration>,
    ): Danger? {
        val hadEndpoint = old.any { before.takesNewWork(it) }
        val hasNoneLeft = new.isNotEmpty() && new.none { after.takesNewWork(it) }
        return if (hadEndpoint && hasNoneLeft) Danger.NoEndpointLeft(ItemReference(kind, name), new.size) else null
    }

    private fun selectors(): List<Danger> = after.models.mapNotNull {
        selectorDanger(ItemReference(ItemKind.MODEL, it.name.value), it.selector, EndpointKind.ENGINE)
    } + after.services.mapNotNull {
        selectorDanger(ItemReference(ItemKind.SERVICE, it.name), it.selector, EndpointKind.SERVICE)
    } + after.rollouts.mapNotNull {
        selectorDanger(ItemReference(ItemKind.ROLLOUT, it.name), it.selector, EndpointKind.ENGINE)
    }

    /** Reports a selector that was changed, or that no longer matches any endpoint. */
    private fun selectorDanger(item: ItemReference, selector: String, kind: EndpointKind): Danger? {
        val matched = after.endpointsMatching(kind, selector).size
        val all = after.endpoints.count { it.kind == kind }
        val matchedBefore = before.endpointsMatching(kind, selector).size
        val isNew = item in changed && before.selectorOf(item) != selector
        val widened = isNew && before.endpoints.isNotEmpty() && selector.isNotBlank()
        return when {
            matched == 0 && (isNew || matchedBefore > 0) -> Danger.MatchesNothing(item.toString(), selector)
            matched == all && all > 1 && widened -> Danger.MatchesAll(item.toString(), selector, all)
            else -> null
        }
    }

    private fun capacity(demand: List<ModelDemand>): List<Danger> = demand.mapNotNull { (model, requests) ->
        val capacity = after.capacityOf(model)
        val shrinks = capacity < before.capacityOf(model)
        if (shrinks && requests > capacity) Danger.Capacity(model.value, requests, capacity) else null
    }

    private fun removed(): List<Danger> {
        val endpoints = (before.endpoints.map { it.name } - after.endpoints.map { it.name }.toSet()).toSet()
        val organisations = before.organisations.map { it.name } - after.organisations.map { it.name }.toSet()
        return before.endpoints.filter { it.name in endpoints && before.takesNewWork(it) }
            .map { Danger.RemovedInService(it.name.value) } + organisations.map { Danger.OrganisationRemoved(it.value) }
    }

    private fun versions(): List<Danger> = after.models.mapNotNull { model ->
        val old = before.models.firstOrNull { it.name == model.name }
        val rolled = before.rollouts.any { it.model == model.name && it.version == model.version }
        val switched = old != null && old.version != model.version && !rolled
        if (switched) Danger.VersionSwitched(model.name.value, old.version.value, model.version.value) else null
    }
}

/** Returns how many requests for [model] its engines in service can run at once. */
public fun Configuration.capacityOf(model: ModelId): Int =
    enginesOf(model).count { takesNewWork(it) } * limits.concurrentPerEngine

/** Returns the application replicas of the service [name], whether in service or not. */
public fun Configuration.replicasOf(name: String): List<EndpointDeclaration> =
    services.firstOrNull { it.name == name }?.let { endpointsMatching(EndpointKind.SERVICE, it.selector) }.orEmpty()

private fun Configuration.selectorOf(item: ItemReference): String? = when (item.kind) {
    ItemKind.MODEL -> models.firstOrNull { it.name.value == item.name }?.selector
    ItemKind.SERVICE -> services.firstOrNull { it.name == item.name }?.selector
    ItemKind.ROLLOUT -> rollouts.firstOrNull { it.name == item.name }?.selector
    ItemKind.ZONE, ItemKind.ENDPOINT, ItemKind.ORGANISATION, ItemKind.LIMITS -> null
}
