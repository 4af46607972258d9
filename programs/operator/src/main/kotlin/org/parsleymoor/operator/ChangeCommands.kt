package org.parsleymoor.operator

import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.optional
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.path
import com.github.ajalt.clikt.parameters.types.restrictTo
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapError
import org.parsleymoor.configuration.DeclarationReader
import org.parsleymoor.configuration.Declarations
import org.parsleymoor.configuration.PlacementState
import org.parsleymoor.configuration.RolloutDeclaration
import org.parsleymoor.core.ModelId
import org.parsleymoor.core.Selector
import org.parsleymoor.core.WeightVersion
import java.nio.file.Path

internal class ApplyCommand(connector: Connector) : ChangeCommand(
    connector,
    "apply",
    "Make the declarations of a directory the configuration, and wait until they are in effect everywhere.",
    "apply examples/tally --dry-run",
) {
    private val directory by argument("DIRECTORY").path()

    override fun edit(): Result<ConfigurationEdit, OperatorFailure> =
        readDeclarations(directory).map { ConfigurationEdit.Apply(it, "apply of ${directory.fileName}") }
}

/** Sets the state of one zone. */
internal class ZoneCommand(
    connector: Connector,
    name: String,
    private val state: PlacementState,
    purpose: String,
) : ChangeCommand(connector, name, purpose, "zone $name north-a") {
    private val zone by argument("ZONE")

    override fun edit(): Result<ConfigurationEdit, OperatorFailure> = Ok(ConfigurationEdit.ZoneState(zone, state))
}

/** Sets the state of one endpoint or of those that a selector matches. */
internal class EndpointCommand(
    connector: Connector,
    name: String,
    private val state: PlacementState,
    purpose: String,
) : ChangeCommand(connector, name, purpose, "endpoint $name engine-1") {
    private val endpoint by argument("ENDPOINT").optional()
    private val selector by option("--selector", help = "Choose endpoints by label, such as zone=north-a,tier!=test.")

    override fun edit(): Result<ConfigurationEdit, OperatorFailure> {
        if ((endpoint == null) == (selector == null)) {
            throw UsageError("expected either the name of an endpoint or --selector, found ${given()}")
        }
        return Ok(ConfigurationEdit.EndpointState(endpoint, parseSelector(selector.orEmpty()), state))
    }

    private fun given(): String = if (endpoint == null) "neither" else "both"
}

internal class RolloutStartCommand(connector: Connector) : ChangeCommand(
    connector,
    "start",
    "Load a version on the engines of a model, at most two at a time, while the rest serve.",
    "rollout start leaf 2",
) {
    private val model by argument("MODEL")
    private val version by argument("VERSION")
    private val selector by option("--selector", help = "Move only engines with these labels.").default("")
    private val concurrent by option("--concurrent", help = "Engines that load at once.")
        .int().restrictTo(1..MOST_CONCURRENT).default(MOST_CONCURRENT)

    override fun edit(): Result<ConfigurationEdit, OperatorFailure> {
        val rollout = RolloutDeclaration(
            name = "$model-${version.lowercase().replace(Regex("[^a-z0-9]"), "-")}",
            model = ModelId(model),
            version = WeightVersion(version),
            selector = parseSelector(selector).toString(),
            concurrent = concurrent,
        )
        return Ok(ConfigurationEdit.RolloutStart(rollout))
    }

    private companion object {
        const val MOST_CONCURRENT = 2
    }
}

/** Ends the rollout of a model, forwards or back. */
internal class RolloutEndCommand(
    connector: Connector,
    name: String,
    private val keep: Boolean,
    purpose: String,
) : ChangeCommand(connector, name, purpose, "rollout $name leaf") {
    private val model by argument("MODEL")

    override fun edit(): Result<ConfigurationEdit, OperatorFailure> = Ok(ConfigurationEdit.RolloutEnd(model, keep))
}

/** Reads a directory of declarations; the failure lists every mistake. */
internal fun readDeclarations(directory: Path): Result<Declarations, OperatorFailure> =
    DeclarationReader.read(directory).mapError {
        OperatorFailure.InvalidFiles(it, "parsleymoor validate $directory, with the files corrected")
    }

/** Parses a selector given on the command line; other text is a usage error. */
internal fun parseSelector(text: String): Selector = Selector.parse(text).getOrElse { throw UsageError(it.message) }
