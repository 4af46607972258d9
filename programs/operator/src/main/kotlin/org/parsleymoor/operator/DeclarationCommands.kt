package org.parsleymoor.operator

import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.types.path
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import kotlinx.serialization.Serializable
import org.parsleymoor.core.Clock

/** The number of items in valid declarations. */
@Serializable
internal data class ValidOutput(val valid: Boolean, val items: Int)

internal class ValidateCommand : LocalCommand(
    "validate",
    "Check the declarations of a directory without a deployment, and list every mistake.",
    "validate examples/tally",
) {
    private val directory by argument("DIRECTORY").path()

    override suspend fun execute(): Result<Report, OperatorFailure> = readDeclarations(directory).map {
        val items = with(it.configuration) {
            zones.size + endpoints.size + organisations.size + models.size + services.size + rollouts.size
        }
        Report.of(ValidOutput.serializer(), ValidOutput(true, items), listOf("$directory is valid: $items items"))
    }
}

internal class DiffCommand(connector: Connector) : OperatorCommand(
    connector,
    "diff",
    "Show what an apply of a directory would change, with its dangers.",
    "diff examples/tally",
) {
    private val directory by argument("DIRECTORY").path()

    override suspend fun execute(deployment: Deployment): Result<Report, OperatorFailure> {
        val declarations = readDeclarations(directory).getOrElse { return Err(it) }
        val edit = ConfigurationEdit.Apply(declarations, "diff")
        val maker = ChangeMaker(
            deployment,
            store(deployment),
            Propagation(deployment, Clock.System, ::progress),
            ::show
        )
        return store(deployment).read().andThen { current ->
            edit.edit(current.configuration).andThen { maker.plan(current.configuration, it, edit) }
        }.map { plan ->
            val output = ChangeOutput(plan.before.revision, plan.changes, plan.dangers)
            Report.of(ChangeOutput.serializer(), output, planLines(plan).ifEmpty { listOf("no difference") })
        }
    }
}
