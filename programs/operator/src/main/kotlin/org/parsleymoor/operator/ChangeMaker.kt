package org.parsleymoor.operator

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getOrElse
import kotlinx.serialization.Serializable
import org.parsleymoor.clients.GatewayStatus
import org.parsleymoor.configuration.Configuration
import org.parsleymoor.configuration.ConfigurationChange
import org.parsleymoor.configuration.ConfigurationPlan
import org.parsleymoor.configuration.Danger
import org.parsleymoor.configuration.checkConfiguration

/** How far a command goes: [dryRun] only plans, [confirmed] makes dangerous changes as well. */
internal data class ChangeOptions(val dryRun: Boolean, val confirmed: Boolean)

/** The outcome of a change; [inEffectMillis] is null when nothing was changed. */
@Serializable
internal data class ChangeOutput(
    val revision: Long,
    val changes: List<ConfigurationChange>,
    val dangers: List<Danger>,
    val instances: Int = 0,
    val inEffectMillis: Long? = null,
)

/** Plans a change, makes it by one conditional update and waits until it is in effect. */
internal class ChangeMaker(
    private val deployment: Deployment,
    private val store: ConfigurationStore,
    private val propagation: Propagation,
    private val show: (List<String>) -> Unit,
) {
    /** Makes [edit] within [options] and returns what was done. */
    suspend fun make(edit: ConfigurationEdit, options: ChangeOptions): Result<Report, OperatorFailure> =
        store.read().andThen { current ->
            val after = edit.edit(current.configuration).getOrElse { return Err(it) }
            plan(current.configuration, after, edit).andThen { plan ->
                show(planLines(plan))
                proceed(current, plan, edit.summary, options)
            }
        }

    /** Compares a change with today's load; a change that makes the configuration invalid is refused whole. */
    suspend fun plan(
        before: Configuration,
        after: Configuration,
        edit: ConfigurationEdit,
    ): Result<ConfigurationPlan, OperatorFailure> {
        val mistakes = checkConfiguration(after)
        if (mistakes.isNotEmpty()) return Err(OperatorFailure.InvalidChange(mistakes))
        val statuses = deployment.statuses().get().orEmpty()
        val plan = ConfigurationPlan.of(before, after, demandOf(statuses))
        val ofCommand = selectorDangers(before, edit) + loadDangers(before, edit, statuses)
        return Ok(plan.copy(dangers = ofCommand + plan.dangers))
    }

    private suspend fun proceed(
        current: StoredConfiguration,
        plan: ConfigurationPlan,
        summary: String,
        options: ChangeOptions,
    ): Result<Report, OperatorFailure> = when {
        plan.changes.isEmpty() || options.dryRun -> Ok(unchanged(plan))
        plan.dangers.isNotEmpty() && !options.confirmed -> Err(OperatorFailure.Unconfirmed(plan.dangers))
        else -> store.change(current, plan.after, summary).andThen { offer ->
            val revision = current.root.revision + 1
            propagation.spread(offer, revision).andThen { Ok(changed(plan, revision, it)) }
        }
    }

    private fun unchanged(plan: ConfigurationPlan): Report {
        val output = ChangeOutput(plan.before.revision, plan.changes, plan.dangers)
        val line = if (plan.changes.isEmpty()) "nothing to change" else "dry run: nothing was changed"
        return Report.of(ChangeOutput.serializer(), output, listOf(line))
    }

    private fun changed(plan: ConfigurationPlan, revision: Long, spread: Spread): Report {
        val output = ChangeOutput(revision, plan.changes, plan.dangers, spread.instances, spread.millis)
        val where = "in effect on ${spread.instances} of ${spread.instances} instances"
        return Report.of(
            ChangeOutput.serializer(),
            output,
            listOf("revision $revision $where after ${spread.millis} ms")
        )
    }
}

/** A command's own selector that matches every endpoint, or none, is a danger as well. */
private fun selectorDangers(current: Configuration, edit: ConfigurationEdit): List<Danger> {
    if (edit !is ConfigurationEdit.EndpointState || edit.name != null) return emptyList()
    val matched = edit.meant(current).size
    return when (matched) {
        0 -> listOf(Danger.MatchesNothing("this command", edit.selector.toString()))
        current.endpoints.size -> listOf(Danger.MatchesAll("this command", edit.selector.toString(), matched))
        else -> emptyList()
    }
}

/** Finishing a rollout before all its engines hold the version takes the others out of use. */
private fun loadDangers(
    current: Configuration,
    edit: ConfigurationEdit,
    statuses: List<GatewayAnswer<GatewayStatus>>,
): List<Danger> {
    val finished = (edit as? ConfigurationEdit.RolloutEnd)?.takeIf { it.keep }
    val rollout = current.rollouts.firstOrNull { it.model.value == finished?.model } ?: return emptyList()
    val progress = rolloutProgress(current, rollout, statuses)
    val isMissing = progress.loaded.size < progress.engines
    val danger = Danger.NotLoaded(progress.model, progress.to, progress.loaded.size, progress.engines)
    return listOf(danger).filter { isMissing }
}

/** Returns the changes and dangers of [plan] as lines. */
internal fun planLines(plan: ConfigurationPlan): List<String> =
    plan.changes.map { it.toString() } + plan.dangers.map { "danger: ${it.effect}" }
