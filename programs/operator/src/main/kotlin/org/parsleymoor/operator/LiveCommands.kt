package org.parsleymoor.operator

import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.optional
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.map
import kotlinx.serialization.Serializable
import org.parsleymoor.clients.EndpointStatus
import org.parsleymoor.clients.GatewayStatus
import org.parsleymoor.clients.RequestHistory
import org.parsleymoor.clients.RequestStep
import org.parsleymoor.clients.RequestStepKind
import org.parsleymoor.configuration.Configuration
import org.parsleymoor.configuration.PlacementState
import org.parsleymoor.configuration.RolloutDeclaration
import org.parsleymoor.configuration.enginesOf
import org.parsleymoor.configuration.placesOf
import org.parsleymoor.core.RequestId
import java.time.Instant

/** One gateway in `status`; [state] is `ready`, `not ready`, `leaving` or why there is no answer. */
@Serializable
internal data class InstanceOutput(
    val instance: String,
    val zone: String,
    val revision: Long?,
    val state: String,
    val running: Int,
    val queued: Int,
)

/** The accepted revision and every gateway. */
@Serializable
internal data class StatusOutput(
    val revision: Long,
    val inEffectEverywhere: Boolean,
    val instances: List<InstanceOutput>
)

internal class StatusCommand(connector: Connector) : OperatorCommand(
    connector,
    "status",
    "Show the accepted revision, and for each gateway the revision in effect, its state and its requests.",
    "status",
) {
    override suspend fun execute(deployment: Deployment): Result<Report, OperatorFailure> =
        store(deployment).read().andThen { stored ->
            deployment.statuses().map { answers -> report(stored.root.revision, answers.map { instance(it) }) }
        }

    private fun instance(answer: GatewayAnswer<GatewayStatus>): InstanceOutput {
        val status = answer.answer.get()
            ?: return InstanceOutput(answer.address, "-", null, answer.answer.getError()?.message.orEmpty(), 0, 0)
        val state = if (status.leaving) "leaving" else if (status.ready) "ready" else "not ready"
        return InstanceOutput(
            instance = status.instance.value,
            zone = status.zone.value,
            revision = status.revision,
            state = state,
            running = status.models.sumOf { it.running },
            queued = status.models.sumOf { it.queued },
        )
    }

    private fun report(revision: Long, instances: List<InstanceOutput>): Report {
        val everywhere = instances.all { it.revision != null && it.revision >= revision }
        val rows = instances.map {
            listOf(
                it.instance,
                it.zone,
                shown(it.revision),
                it.state,
                "${it.running}",
                "${it.queued}"
            )
        }
        val table = textTable(listOf("instance", "zone", "revision", "state", "running", "queued"), rows)
        val summary = "revision $revision is ${if (everywhere) "in effect everywhere" else "not in effect everywhere"}"
        return Report.of(
            StatusOutput.serializer(),
            StatusOutput(revision, everywhere, instances),
            listOf(summary) + table
        )
    }

    private fun shown(revision: Long?): String = revision?.toString() ?: "-"
}

/** The engines of a rollout that hold its version. */
@Serializable
internal data class RolloutOutput(
    val model: String,
    val from: String,
    val to: String,
    val engines: Int,
    val loaded: List<String>,
    val loading: List<String>,
)

/** Every rollout in effect. */
@Serializable
internal data class RolloutsOutput(val rollouts: List<RolloutOutput>)

internal class RolloutStatusCommand(connector: Connector) : OperatorCommand(
    connector,
    "status",
    "Show how many engines of each rollout hold its version.",
    "rollout status leaf",
) {
    private val model by argument("MODEL").optional()

    override suspend fun execute(deployment: Deployment): Result<Report, OperatorFailure> =
        store(deployment).read().andThen { stored ->
            val rollouts = stored.configuration.rollouts.filter { model == null || it.model.value == model }
            deployment.statuses().map { answers ->
                val endpoints = answers.mapNotNull { it.answer.get() }.flatMap { it.endpoints }
                report(rollouts.map { output(stored.configuration, it, endpoints) })
            }
        }

    private fun output(
        configuration: Configuration,
        rollout: RolloutDeclaration,
        endpoints: List<EndpointStatus>,
    ): RolloutOutput {
        val engines = configuration.enginesOf(rollout).map { it.name }
        val held = endpoints.filter { it.endpoint in engines }.flatMap { endpoint ->
            endpoint.versions.filter { it.model == rollout.model && it.version == rollout.version }
                .map { endpoint.endpoint.value to it.loading }
        }.toSet()
        val loaded = held.filter { !it.second }.map { it.first }.toSortedSet()
        val loading = held.filter { it.second }.map { it.first }.toSortedSet() - loaded
        val from = configuration.models.first { it.name == rollout.model }.version.value
        val names = loaded.toList()
        return RolloutOutput(rollout.model.value, from, rollout.version.value, engines.size, names, loading.toList())
    }

    private fun report(rollouts: List<RolloutOutput>): Report {
        val rows = rollouts.map {
            val next = if (it.loaded.size == it.engines) "rollout finish ${it.model}" else "wait"
            listOf(it.model, it.from, it.to, "${it.loaded.size} of ${it.engines}", "${it.loading.size}", next)
        }
        val header = listOf("model", "from", "to", "loaded", "loading", "next")
        val lines = if (rows.isEmpty()) listOf("no rollout is in effect") else textTable(header, rows)
        return Report.of(RolloutsOutput.serializer(), RolloutsOutput(rollouts), lines)
    }
}

internal class ExplainCommand(connector: Connector) : OperatorCommand(
    connector,
    "explain",
    "Show each hop, choice and refusal of a request with its reason.",
    "explain 4b1f0e9a-53a0-4c8e-9c55-0d6d6a5a1f10",
) {
    private val request by argument("REQUEST-ID")

    override suspend fun execute(deployment: Deployment): Result<Report, OperatorFailure> =
        deployment.gateways().andThen { gateways ->
            val answers = deployment.ask(gateways) { it.history(RequestId(request)) }
            val steps = answers.mapNotNull { it.answer.get() }.flatMap { it.steps }.sortedBy { it.atMillis }
            if (steps.isEmpty()) Err(unknown()) else Ok(report(RequestHistory(RequestId(request), steps)))
        }

    private fun unknown() = OperatorFailure.NotFound(
        expected = "the id of a recent request, as in the header X-Request-Id of its answer",
        found = request,
        next = "parsleymoor status",
    )

    private fun report(history: RequestHistory): Report {
        val header = listOf("time", "instance", "step", "subject", "reason")
        return Report.of(RequestHistory.serializer(), history, textTable(header, history.steps.map(::row)))
    }

    private fun row(step: RequestStep): List<String> {
        val time = Instant.ofEpochMilli(step.atMillis).toString()
        return listOf(time, step.instance.value, shown(step.kind), step.subject, step.reason)
    }

    private fun shown(kind: RequestStepKind): String = kind.name.lowercase()
}

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
                        places = stored.configuration.placesOf(model.name),
                        withoutZone = zones.associateWith { stored.configuration.without(it).placesOf(model.name) },
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
