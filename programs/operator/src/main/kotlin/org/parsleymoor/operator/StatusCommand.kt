package org.parsleymoor.operator

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.map
import kotlinx.serialization.Serializable
import org.parsleymoor.clients.GatewayStatus

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
