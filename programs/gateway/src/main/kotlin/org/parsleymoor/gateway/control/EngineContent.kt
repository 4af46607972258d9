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

/**
 * The weight versions and role that an engine has or should have; [role] is null when the configuration does not set
 * one.
 */
internal data class EngineContent(val versions: Set<ModelVersion>, val role: String?)

/**
 * The content that a configuration wants on each engine: the version of each model whose selector matches the engine,
 * the target version of each rollout that includes it, and the role in its label `role`. Versions of models that are
 * not declared for the engine are left alone. So are versions for which [isRetained] returns true, because requests may
 * still be running on them.
 */
internal class WantedContents(
    private val configuration: Configuration,
    private val isRetained: (ModelVersion) -> Boolean,
) {
    private val engines = configuration.endpoints.filter { it.kind == EndpointKind.ENGINE }.associateBy { it.name }
    private val wanted: Map<EndpointId, EngineContent> = contents()

    /** The declaration of [name]; null when it is not a declared engine. */
    fun engine(name: EndpointId): EndpointDeclaration? = engines[name]

    /** The engines with their wanted content; engines without any are omitted. */
    fun targets(): List<OrderTarget<EngineContent>> = engines.values.mapNotNull { engine ->
        wanted[engine.name]?.let { OrderTarget(engine.name, it, engine.fencing()) }
    }

    /**
     * How many engines may load at the same time, so that at least one engine of each model under rollout is not
     * loading.
     */
    fun concurrentLoads(): Int = configuration.rollouts.minOfOrNull { rollout ->
        val spared = configuration.enginesOf(rollout.model).size - 1
        minOf(rollout.concurrent, spared)
    }?.coerceAtLeast(1) ?: MAXIMUM_CONCURRENT_LOADS

    /** The state of [endpoint] according to [load]; loading any version counts as loading. */
    fun state(endpoint: EndpointId, load: EngineLoad): EngineState<EngineContent> {
        val relevant = load.versions.filter { isRelevant(endpoint, ModelVersion(it.model, it.version)) }
        val role = load.role.takeIf { wanted[endpoint]?.role != null }
        val loading = if (load.versions.any { it.loading }) EngineContent(relevant.held(), role) else null
        return EngineState(EngineContent(relevant.filterNot { it.loading }.held(), role), loading)
    }

    /**
     * The next step from [load] to [content]. Loads come before a role change, and unloads come last, so that the
     * engine keeps serving. Versions that the configuration wants are never unloaded, and no others are loaded. When
     * nothing is left to do, the step sets the role that the engine already has, which changes nothing.
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
        const val MAXIMUM_CONCURRENT_LOADS = 2
    }
}

private fun List<LoadedVersion>.held(): Set<ModelVersion> =
    map { ModelVersion(it.model, it.version) }.toSet()

/** An engine without the label is assumed to ignore fencing tokens, which is the safer assumption. */
private fun EndpointDeclaration.fencing(): Fencing =
    if (labels["fencing"] == "checked") Fencing.CHECKED else Fencing.IGNORED
