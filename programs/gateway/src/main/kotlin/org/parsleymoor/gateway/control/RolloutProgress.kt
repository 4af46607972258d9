package org.parsleymoor.gateway.control

import org.parsleymoor.clients.EndpointStatus
import org.parsleymoor.clients.RolloutStatus
import org.parsleymoor.configuration.Configuration
import org.parsleymoor.configuration.RolloutDeclaration
import org.parsleymoor.configuration.enginesOf
import org.parsleymoor.gateway.ConfigurationHolder

/** Progress of the rollouts according to the engine states from [endpointStatuses]; available on every gateway. */
internal class RolloutProgress(
    private val configuration: ConfigurationHolder,
    private val endpointStatuses: () -> List<EndpointStatus>,
) {
    /** The status of each rollout in effect, in configuration order. */
    fun current(): List<RolloutStatus> {
        val view = configuration.current?.configuration ?: return emptyList()
        val endpoints = if (view.rollouts.isEmpty()) emptyList() else endpointStatuses()
        return view.rollouts.map { progress(view, it, endpoints) }
    }

    private fun progress(
        view: Configuration,
        rollout: RolloutDeclaration,
        endpoints: List<EndpointStatus>,
    ): RolloutStatus {
        val names = view.enginesOf(rollout).map { it.name }.toSet()
        val held = endpoints.filter { it.endpoint in names }.flatMap { endpoint ->
            endpoint.versions.filter { it.model == rollout.model && it.version == rollout.version }
                .map { endpoint.endpoint to it.loading }
        }
        return RolloutStatus(
            name = rollout.name,
            model = rollout.model,
            version = rollout.version,
            engines = names.size,
            loaded = held.filterNot { it.second }.map { it.first },
            loading = held.filter { it.second }.map { it.first },
        )
    }
}
