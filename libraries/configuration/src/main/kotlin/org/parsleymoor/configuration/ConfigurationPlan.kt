package org.parsleymoor.configuration

import org.parsleymoor.core.ModelId

/** The number of requests for [model] that are running or queued on all gateways. */
public data class ModelDemand(public val model: ModelId, public val requests: Int)

/** The effects of replacing [before] by [after]. The operator has to confirm the [dangers]. */
public data class ConfigurationPlan(
    public val before: Configuration,
    public val after: Configuration,
    public val changes: List<ConfigurationChange>,
    public val dangers: List<Danger>,
) {
    public companion object {
        /** Compares two valid configurations and checks the remaining capacity against the current [demand]. */
        public fun of(
            before: Configuration,
            after: Configuration,
            demand: List<ModelDemand> = emptyList(),
        ): ConfigurationPlan {
            val changes = changesBetween(before, after)
            val dangers = DangerCheck(before, after, changes).dangers(demand)
            return ConfigurationPlan(before, after, changes, dangers)
        }
    }
}

/**
 * Returns the result of applying the declarations to [current]. A zone or endpoint whose state is not declared keeps
 * its current state, so that an unrelated change does not put it back in service. An active rollout that is not
 * declared stays until its version is the declared version of the model.
 */
public fun Declarations.appliedTo(current: Configuration): Configuration {
    val zoneStates = current.zones.associate { it.name to it.state }
    val endpointStates = current.endpoints.associate { it.name to it.state }
    val declared = configuration
    val versions = declared.models.associate { it.name to it.version }
    val declaredNames = declared.rollouts.map { it.name }.toSet()
    val kept = current.rollouts.filter { it.name !in declaredNames && versions[it.model] != it.version }
    return declared.copy(
        revision = current.revision,
        zones = declared.zones.map {
            val isDeclared = ItemReference(ItemKind.ZONE, it.name.value) in declaredStates
            if (isDeclared) it else it.copy(state = zoneStates[it.name] ?: it.state)
        },
        endpoints = declared.endpoints.map {
            val isDeclared = ItemReference(ItemKind.ENDPOINT, it.name.value) in declaredStates
            if (isDeclared) it else it.copy(state = endpointStates[it.name] ?: it.state)
        },
        rollouts = declared.rollouts + kept,
    ).sorted()
}
