package org.parsleymoor.operator

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.map
import kotlinx.serialization.Serializable
import org.parsleymoor.configuration.Configuration
import org.parsleymoor.configuration.PlacementState
import org.parsleymoor.configuration.capacityOf

/** The places of a model's engines in service against the requests that it has now. */
@Serializable
internal data class CapacityOutput(
    val model: String,
    val requests: Int,
    val places: Int,
    val withoutZone: Map<String, Int>,
)

/** The capacity of every model. */
@Serializable
internal data class CapacitiesOutput(val answeringInstances: Int, val models: List<CapacityOutput>)

internal class CapacityCommand(connector: Connector) : OperatorCommand(
    connector,
    "capacity",
    "Compare today's load of each model with the places of its engines, also with each zone taken out.",
    "capacity",
) {
    override suspend fun execute(deployment: Deployment): Result<Report, OperatorFailure> =
        store(deployment).read().andThen { stored ->
            deployment.statuses().map { answers ->
                val demand = demandOf(answers).associate { it.model to it.requests }
                val zones = stored.configuration.zones.filter { it.state == PlacementState.IN }.map { it.name.value }
                val models = stored.configuration.models.map { model ->
                    CapacityOutput(
                        model = model.name.value,
                        requests = demand[model.name] ?: 0,
                        places = stored.configuration.capacityOf(model.name),
                        withoutZone = zones.associateWith { stored.configuration.without(it).capacityOf(model.name) },
                    )
                }
                report(CapacitiesOutput(answers.count { it.answer.isOk }, models), zones)
            }
        }

    private fun report(output: CapacitiesOutput, zones: List<String>): Report {
        val header = listOf("model", "requests", "places") + zones.map { "without $it" }
        val rows = output.models.map { model ->
            listOf(model.model, "${model.requests}", "${model.places}") + zones.map { shown(model, it) }
        }
        return Report.of(CapacitiesOutput.serializer(), output, textTable(header, rows))
    }

    private fun shown(model: CapacityOutput, zone: String): String {
        val places = model.withoutZone.getValue(zone)
        return if (places < model.requests) "$places (short by ${model.requests - places})" else "$places"
    }

    private fun Configuration.without(zone: String): Configuration =
        copy(zones = zones.map { if (it.name.value == zone) it.copy(state = PlacementState.OUT) else it })
}
