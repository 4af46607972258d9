package org.parsleymoor.explore

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.enum
import com.github.ajalt.clikt.parameters.types.long
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** The result on one line, see `docs/verification.md`. */
@Serializable
internal data class ExploreResult(
    val seed: Long,
    val steps: Long,
    val histories: Long,
    val violations: Int,
    val fault: String? = null,
)

/** `bin/explore`: explores every world for a share of the time. */
internal class ExploreCommand : CliktCommand("explore") {
    private val seconds by option(help = "How long to explore.").long().default(DEFAULT_SECONDS)
    private val seed by option(help = "Seed of the first history.").long().default(1)
    private val world by option(help = "Explore this world only.").enum<WorldKind>()
    private val fault by option(help = "Seed this fault into its mechanism.").enum<SeededFault>()
    private val json by option(help = "Print one JSON object.").flag()

    private val claimLoad by option(help = "Measure platform writes for claimed calls at this rate per second.").long()

    override fun run() {
        val rate = claimLoad
        if (rate == null) exploreWorlds() else echo(measureClaims(rate))
    }

    private fun measureClaims(rate: Long): String =
        Json.encodeToString(ClaimLoadResult.serializer(), ClaimLoad(rate, seed).run())

    private fun exploreWorlds() {
        val kinds = listOfNotNull(fault?.world ?: world).ifEmpty { WorldKind.entries }
        val explorations = kinds.map { explore(it, seed, fault, untilTime(seconds / kinds.size.toDouble())) }
        val found = explorations.mapNotNull { it.counterexample }
        found.forEach { echo(describe(it), err = true) }
        val result = ExploreResult(
            seed,
            explorations.sumOf { it.steps },
            explorations.sumOf { it.histories },
            found.size,
            fault?.name,
        )
        echo(if (json) Json.encodeToString(ExploreResult.serializer(), result) else result.toString())
        if (found.isNotEmpty()) throw ProgramResult(VIOLATION_STATUS)
    }

    private fun untilTime(seconds: Double): (Long) -> Boolean {
        val endNanos = System.nanoTime() + (seconds * NANOS_PER_SECOND).toLong()
        return { System.nanoTime() >= endNanos }
    }

    private fun describe(found: Counterexample): String {
        val violation = found.violation
        val heading = "${found.world} seed ${found.seed} step ${found.step} at ${violation.atMillis} ms: " +
            "${violation.invariant}: expected ${violation.expected}, found ${violation.found}"
        return (listOf(heading) + found.events).joinToString("\n  ")
    }

    private companion object {
        const val DEFAULT_SECONDS = 60L
        const val NANOS_PER_SECOND = 1e9
        const val VIOLATION_STATUS = 1
    }
}

internal fun main(arguments: Array<String>) = ExploreCommand().main(arguments)
