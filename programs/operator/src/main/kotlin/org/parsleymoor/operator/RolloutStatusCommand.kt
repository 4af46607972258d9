package org.parsleymoor.operator

import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.optional
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.get
import com.github.michaelbull.result.map
import kotlinx.serialization.Serializable
import org.parsleymoor.clients.GatewayStatus
import org.parsleymoor.clients.OrderLeaseState
import org.parsleymoor.configuration.Configuration
import org.parsleymoor.configuration.RolloutDeclaration
import org.parsleymoor.configuration.enginesOf

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

/** Every rollout in effect; [ordersFrom] is the gateway that sends orders to engines, null when none says so. */
@Serializable
internal data class RolloutsOutput(val rollouts: List<RolloutOutput>, val ordersFrom: String?)

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
                report(rollouts.map { rolloutProgress(stored.configuration, it, answers) }, orderHolder(answers))
            }
        }

    private fun orderHolder(answers: List<GatewayAnswer<GatewayStatus>>): String? = answers
        .mapNotNull { it.answer.get() }
        .firstOrNull { it.orders.lease != OrderLeaseState.NOT_HELD }?.instance?.value

    private fun report(rollouts: List<RolloutOutput>, ordersFrom: String?): Report {
        val rows = rollouts.map {
            val next = if (it.loaded.size == it.engines) "rollout finish ${it.model}" else "wait"
            listOf(it.model, it.from, it.to, "${it.loaded.size} of ${it.engines}", "${it.loading.size}", next)
        }
        val header = listOf("model", "from", "to", "loaded", "loading", "next")
        val sender = ordersFrom?.let { "orders are sent by $it" }
            ?: "no gateway holds the lease on orders: nothing is loaded until one does"
        val lines = if (rows.isEmpty()) listOf("no rollout is in effect") else textTable(header, rows) + sender
        return Report.of(RolloutsOutput.serializer(), RolloutsOutput(rollouts, ordersFrom), lines)
    }
}

/** Returns which engines of [rollout] hold its version, according to any gateway. */
internal fun rolloutProgress(
    configuration: Configuration,
    rollout: RolloutDeclaration,
    answers: List<GatewayAnswer<GatewayStatus>>,
): RolloutOutput {
    val engines = configuration.enginesOf(rollout).map { it.name }
    val seen = answers.mapNotNull { it.answer.get() }.flatMap { it.endpoints }.filter { it.endpoint in engines }
    val held = seen.flatMap { endpoint ->
        endpoint.versions.filter { it.model == rollout.model && it.version == rollout.version }
            .map { endpoint.endpoint.value to it.loading }
    }
    val loaded = held.filter { !it.second }.map { it.first }.toSortedSet()
    val loading = held.map { it.first }.toSortedSet() - loaded
    val from = configuration.models.first { it.name == rollout.model }.version.value
    return RolloutOutput(
        model = rollout.model.value,
        from = from,
        to = rollout.version.value,
        engines = engines.size,
        loaded = loaded.toList(),
        loading = loading.toList(),
    )
}
