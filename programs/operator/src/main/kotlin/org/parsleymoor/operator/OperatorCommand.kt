package org.parsleymoor.operator

import com.github.ajalt.clikt.command.SuspendingCliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.terminal
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.path
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.mapBoth
import org.parsleymoor.core.Clock
import java.nio.file.Path

/** Opens the deployment that settings name; tests give one that runs in their own process. */
internal typealias Connector = (OperatorSettings) -> Deployment

/** A command with `--json`; [example] is shown in its help. */
internal abstract class LocalCommand(
    name: String,
    private val purpose: String,
    private val example: String,
) : SuspendingCliktCommand(name) {
    protected val json: Boolean by option("--json", help = "Print one JSON object.").flag()

    override fun help(context: Context): String = "$purpose\n\nExample: `parsleymoor $example`"

    override suspend fun run() {
        execute().mapBoth(::report, ::fail)
    }

    /** Does the command's work. */
    protected abstract suspend fun execute(): Result<Report, OperatorFailure>

    /** Prints [lines] now, unless the output is JSON. */
    protected fun show(lines: List<String>) {
        if (!json) lines.forEach { echo(it) }
    }

    /** Tells a person at a terminal how far a slow command has come. */
    protected fun progress(line: String) {
        if (!json && terminal.terminalInfo.outputInteractive) echo(line, err = true)
    }

    private fun report(report: Report) {
        if (json) echo(report.json) else report.lines.forEach { echo(it) }
    }

    private fun fail(failure: OperatorFailure) {
        if (json) {
            val output = FailureOutput(failure.status, failure.message, failure.next)
            echo(OutputJson.encodeToString(FailureOutput.serializer(), output))
        } else {
            echo(terminal.theme.danger("error: ${failure.message}"), err = true)
            echo("next: ${failure.next}", err = true)
        }
        throw ProgramResult(failure.status.code)
    }
}

/** A command that talks to the deployment of its settings. */
internal abstract class OperatorCommand(
    private val connector: Connector,
    name: String,
    purpose: String,
    example: String,
) : LocalCommand(name, purpose, example) {
    private val settings by option(
        "--settings",
        envvar = "PARSLEYMOOR_SETTINGS",
        help = "The TOML file that says where the platform and the gateways are.",
    ).path().default(Path.of("parsleymoor.toml"))

    override suspend fun execute(): Result<Report, OperatorFailure> {
        val read = OperatorSettings.read(settings).getOrElse { return Err(it) }
        return connector(read).use { execute(it) }
    }

    /** Does the command's work with an open [deployment]. */
    protected abstract suspend fun execute(deployment: Deployment): Result<Report, OperatorFailure>

    protected fun store(deployment: Deployment): ConfigurationStore =
        ConfigurationStore(deployment.platform, deployment.settings.operator)
}

/** A command that changes the configuration. */
internal abstract class ChangeCommand(
    connector: Connector,
    name: String,
    purpose: String,
    example: String,
) : OperatorCommand(connector, name, purpose, example) {
    private val dryRun by option("--dry-run", help = "Show the plan and change nothing.").flag()
    private val yes by option("--yes", help = "Make the change even if it is dangerous.").flag()

    /** Returns the change that the arguments ask for. */
    protected abstract fun edit(): Result<ConfigurationEdit, OperatorFailure>

    override suspend fun execute(deployment: Deployment): Result<Report, OperatorFailure> {
        val edit = edit().getOrElse { return Err(it) }
        val propagation = Propagation(deployment, Clock.System, ::progress)
        return ChangeMaker(deployment, store(deployment), propagation, ::show)
            .make(edit, ChangeOptions(dryRun, yes))
    }
}
