package org.parsleymoor.operator

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.map
import org.parsleymoor.configuration.Configuration
import org.parsleymoor.configuration.Declarations
import org.parsleymoor.configuration.EndpointDeclaration
import org.parsleymoor.configuration.ModelDeclaration
import org.parsleymoor.configuration.PlacementState
import org.parsleymoor.configuration.RolloutDeclaration
import org.parsleymoor.configuration.appliedTo
import org.parsleymoor.configuration.labelsOf
import org.parsleymoor.configuration.sorted
import org.parsleymoor.core.Selector

/** A change that an operator asks for; [summary] is what other operators are told of it. */
internal sealed interface ConfigurationEdit {
    val summary: String

    /** Returns the changed configuration, or the failure that names what does not exist. */
    fun edit(current: Configuration): Result<Configuration, OperatorFailure>

    /** Makes the declarations of a directory the configuration. */
    data class Apply(val declarations: Declarations, override val summary: String) : ConfigurationEdit {
        override fun edit(current: Configuration): Result<Configuration, OperatorFailure> =
            Ok(declarations.appliedTo(current))
    }

    /** Sets the state of a zone. */
    data class ZoneState(val zone: String, val state: PlacementState) : ConfigurationEdit {
        override val summary: String get() = "zone $zone ${state.shown}"

        override fun edit(current: Configuration): Result<Configuration, OperatorFailure> {
            val names = current.zones.map { it.name.value }
            if (zone !in names) return Err(notFound("zone", zone, names))
            val zones = current.zones.map { if (it.name.value == zone) it.copy(state = state) else it }
            return Ok(current.copy(zones = zones))
        }
    }

    /** Sets the state of the endpoint [name], or of all that [selector] matches when there is no name. */
    data class EndpointState(
        val name: String?,
        val selector: Selector,
        val state: PlacementState,
    ) : ConfigurationEdit {
        override val summary: String get() = "endpoint ${name ?: selector} ${state.shown}"

        override fun edit(current: Configuration): Result<Configuration, OperatorFailure> {
            val names = current.endpoints.map { it.name.value }
            if (name != null && name !in names) return Err(notFound("endpoint", name, names))
            val endpoints = current.endpoints.map { if (meant(current, it)) it.copy(state = state) else it }
            return Ok(current.copy(endpoints = endpoints))
        }

        /** Returns the endpoints that the edit is about. */
        fun meant(current: Configuration): List<EndpointDeclaration> = current.endpoints.filter { meant(current, it) }

        private fun meant(current: Configuration, endpoint: EndpointDeclaration): Boolean =
            if (name != null) endpoint.name.value == name else selector.matches(current.labelsOf(endpoint))
    }

    /** Starts to move a model's engines to another version. */
    data class RolloutStart(val rollout: RolloutDeclaration) : ConfigurationEdit {
        override val summary: String get() = "rollout of ${rollout.model} to version ${rollout.version}"

        override fun edit(current: Configuration): Result<Configuration, OperatorFailure> =
            current.model(rollout.model.value).map { current.copy(rollouts = current.rollouts + rollout).sorted() }
    }

    /** Ends a rollout: with [keep], new requests use its version; without, engines return to the model's. */
    data class RolloutEnd(val model: String, val keep: Boolean) : ConfigurationEdit {
        override val summary: String get() = "rollout of $model ${if (keep) "finished" else "undone"}"

        override fun edit(current: Configuration): Result<Configuration, OperatorFailure> =
            current.model(model).andThen { declared ->
                val rollout = current.rollouts.firstOrNull { it.model == declared.name }
                val moved = current.rollouts.map { it.model.value }
                if (rollout == null) Err(notFound("rollout of the model", model, moved)) else Ok(end(current, rollout))
            }

        private fun end(current: Configuration, rollout: RolloutDeclaration): Configuration {
            val version = if (keep) rollout.version else null
            val models = current.models.map {
                if (it.name == rollout.model) it.copy(version = version ?: it.version) else it
            }
            return current.copy(models = models, rollouts = current.rollouts - rollout)
        }
    }
}

/** The state as operators write it. */
internal val PlacementState.shown: String get() = name.lowercase()

internal fun Configuration.model(name: String): Result<ModelDeclaration, OperatorFailure> =
    models.firstOrNull { it.name.value == name }?.let { Ok(it) }
        ?: Err(notFound("model", name, models.map { it.name.value }))

internal fun notFound(kind: String, name: String, names: List<String>): OperatorFailure.NotFound {
    val known = if (names.isEmpty()) "none is declared" else "one of ${names.sorted().take(NAMES_SHOWN).joinToString()}"
    return OperatorFailure.NotFound(
        "the name of a $kind ($known)",
        name,
        "parsleymoor get ${kind.substringBefore(' ')}s"
    )
}

private const val NAMES_SHOWN = 8
