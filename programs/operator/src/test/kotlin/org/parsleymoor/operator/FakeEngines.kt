package org.parsleymoor.operator

import org.parsleymoor.clients.EndpointStatus
import org.parsleymoor.clients.LoadedVersion
import org.parsleymoor.configuration.Configuration
import org.parsleymoor.configuration.EndpointKind
import org.parsleymoor.configuration.enginesOf
import org.parsleymoor.core.EndpointId

/** The engines of a configuration; with each [step] at most two load what a rollout wants and two have loaded it. */
internal class FakeEngines {
    private var held: Map<EndpointId, List<LoadedVersion>> = emptyMap()

    fun status(): List<EndpointStatus> = held.map { (engine, versions) -> EndpointStatus(engine, versions = versions) }

    /** Takes in [configuration]: engines hold what their models have at first and drop what is no longer wanted. */
    fun apply(configuration: Configuration) {
        val wanted = wanted(configuration)
        held = configuration.endpoints.filter { it.kind == EndpointKind.ENGINE }.associate { engine ->
            val versions = wanted[engine.name].orEmpty()
            engine.name to (held[engine.name]?.filter { it.copy(loading = false) in versions } ?: versions)
        }
    }

    /** Ends the loads that go on and starts the next ones. */
    fun step(configuration: Configuration) {
        val wanted = wanted(configuration)
        val ended = held.mapValues { (_, versions) -> versions.map { it.copy(loading = false) } }
        val next = ended.filter { (engine, versions) -> wanted[engine].orEmpty().any { it !in versions } }.keys.take(2)
        held = ended.mapValues { (engine, versions) ->
            val missing = wanted[engine].orEmpty().filter { it !in versions && engine in next }
            versions + missing.map { it.copy(loading = true) }
        }
    }

    private fun wanted(configuration: Configuration): Map<EndpointId, List<LoadedVersion>> {
        val models = configuration.models.flatMap { model ->
            configuration.enginesOf(model.name).map { it.name to LoadedVersion(model.name, model.version) }
        }
        val rollouts = configuration.rollouts.flatMap { rollout ->
            configuration.enginesOf(rollout).map { it.name to LoadedVersion(rollout.model, rollout.version) }
        }
        return (models + rollouts).groupBy({ it.first }, { it.second })
    }
}
