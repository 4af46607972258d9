package org.parsleymoor.gateway.control

import org.parsleymoor.clients.DesiredState
import org.parsleymoor.clients.EngineLoad
import org.parsleymoor.clients.LoadedVersion
import org.parsleymoor.configuration.Configuration
import org.parsleymoor.configuration.EndpointDeclaration
import org.parsleymoor.configuration.EndpointKind
import org.parsleymoor.configuration.enginesOf
import org.parsleymoor.coordination.EngineState
import org.parsleymoor.coordination.Fencing
import org.parsleymoor.coordination.OrderTarget
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.ModelId
import org.parsleymoor.core.WeightVersion

/** A weight version of a model. */
internal data class ModelVersion(val model: ModelId, val version: WeightVersion) {
    override fun toString(): String = "$model $version"
}

/** What an engine holds or shall hold, as far as the configuration says; [role] is null when it says nothing of it. */
internal data class EngineContent(val versions: Set<ModelVersion>, val role: String?)

/**
 * What one configuration wants of the engines. An engine holds the version of each model whose selector matches it, the
 * version of a rollout that moves it, and the role in its label `role`. Versions of models that are not declared for
 * the engine are left alone, and so are those that [isRetained] names, because runs may still go on with them.
 */
internal class WantedContents(
    private val configuration: Configuration,
    private val isRetained: (ModelVersion) -> Boolean,
) {
    private val engines = configuration.endpoints.filter { it.kind == EndpointKind.ENGINE }.associateBy { it.name }
    private val wanted: Map<EndpointId, EngineContent> = contents()

    /** The endpoint [name] when it is a declared engine. */
    fun engine(name: EndpointId): EndpointDeclaration? = engines[name]

    /** The engines and what they shall hold; one with nothing to hold is left out. */
    fun targets(): List<OrderTarget<EngineContent>> = engines.values.mapNotNull { engine ->
        wanted[engine.name]?.let { OrderTarget(engine.name, it, engine.fencing()) }
    }

    /** How many engines may load at once so that one of each model under rollout stays free of loading. */
    fun concurrentLoads(): Int = configuration.rollouts.minOfOrNull { rollout ->
        val spared = configuration.enginesOf(rollout.model).size - 1
        minOf(rollout.concurrent, spared)
    }?.coerceAtLeast(1) ?: MOST_CONCURRENT_LOADS

    /** What [endpoint] holds according to [load]; a load of any version counts as loading. */
    fun state(endpoint: EndpointId, load: EngineLoad): EngineState<EngineContent> {
        val relevant = load.versions.filter { isRelevant(endpoint, ModelVersion(it.model, it.version)) }
        val role = load.role.takeIf { wanted[endpoint]?.role != null }
        val loading = if (load.versions.any { it.loading }) EngineContent(relevant.held(), role) else null
        return EngineState(EngineContent(relevant.filterNot { it.loading }.held(), role), loading)
    }

    /**
     * The next step from [load] to [content]: loads come before a change of role, and both before unloading, so that an
     * engine serves throughout. Nothing that the configuration wants is unloaded, and nothing else is loaded. Without a
     * step it is an order for the role that the engine has, which changes nothing.
     */
    fun nextStep(endpoint: EndpointId, load: EngineLoad, content: EngineContent): DesiredState {
        val declared = wanted[endpoint]?.versions.orEmpty()
        val held = load.versions.held()
        val missing = content.versions.firstOrNull { it in declared && it !in held }
        val surplus = held.firstOrNull { isRelevant(endpoint, it) && it !in declared && it !in content.versions }
        val role = content.role?.takeIf { it != load.role }
        return when {
            missing != null -> DesiredState.Loaded(missing.model, missing.version)
            role != null -> DesiredState.Role(role)
            surplus != null -> DesiredState.Unloaded(surplus.model, surplus.version)
            else -> DesiredState.Role(load.role)
        }
    }

    private fun isRelevant(endpoint: EndpointId, version: ModelVersion): Boolean {
        val versions = wanted[endpoint]?.versions.orEmpty()
        return version in versions || (versions.any { it.model == version.model } && !isRetained(version))
    }

    private fun contents(): Map<EndpointId, EngineContent> {
        val current = configuration.models.flatMap { model ->
            configuration.enginesOf(model.name).map { it.name to ModelVersion(model.name, model.version) }
        }
        val rolled = configuration.rollouts.flatMap { rollout ->
            configuration.enginesOf(rollout).map { it.name to ModelVersion(rollout.model, rollout.version) }
        }
        val versions = (current + rolled).groupBy({ it.first }, { it.second })
        return engines.values.filter { it.name in versions || ROLE_LABEL in it.labels }
            .associate { it.name to EngineContent(versions[it.name].orEmpty().toSet(), it.labels[ROLE_LABEL]) }
    }

    private companion object {
        const val ROLE_LABEL = "role"
        const val MOST_CONCURRENT_LOADS = 2
    }
}

private fun List<LoadedVersion>.held(): Set<ModelVersion> =
    map { ModelVersion(it.model, it.version) }.toSet()

/** An engine without the label is taken to ignore fencing tokens, the safer of the two. */
private fun EndpointDeclaration.fencing(): Fencing =
    if (labels["fencing"] == "checked") Fencing.CHECKED else Fencing.IGNORED
