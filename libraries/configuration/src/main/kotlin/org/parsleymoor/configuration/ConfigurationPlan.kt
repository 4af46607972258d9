package org.parsleymoor.configuration

import org.parsleymoor.core.ModelId

/** The requests of [model] that are running or queued now, over all gateways. */
public data class ModelDemand(public val model: ModelId, public val requests: Int)

/** What a change from [before] to [after] does. [dangers] need the operator's confirmation. */
public data class ConfigurationPlan(
    public val before: Configuration,
    public val after: Configuration,
    public val changes: List<ConfigurationChange>,
    public val dangers: List<Danger>,
) {
    public companion object {
        /** Compares two valid configurations; [demand] is today's load, against which capacity is checked. */
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
 * Returns the configuration that the declarations make of [current]: zones and endpoints whose state no file sets keep
 * the state that is in effect, so that an unrelated change does not return what was taken out of service. A rollout
 * in effect stays until the declared version of its model is the one that it moves to.
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
            val given = ItemReference(ItemKind.ZONE, it.name.value) in declaredStates
            if (given) it else it.copy(state = zoneStates[it.name] ?: it.state)
        },
        endpoints = declared.endpoints.map {
            val given = ItemReference(ItemKind.ENDPOINT, it.name.value) in declaredStates
            if (given) it else it.copy(state = endpointStates[it.name] ?: it.state)
        },
        rollouts = declared.rollouts + kept,
    ).sorted()
}
