package org.parsleymoor.trials

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.long
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.Serializable
import org.parsleymoor.clients.WireJson

/** The figures of one demo; `docs/design.md` lists them. */
@Serializable
internal data class DemoReport(
    val seed: Long,
    val requests: Int,
    val answered: Int,
    val refused: Int,
    val unknown: Int,
    val wrongAnswers: Int,
    val doubled: Int,
    val falseNotRun: Int,
    val violations: Int,
    val timeToFirstTokenP50Millis: Long,
    val timeToFirstTokenP95Millis: Long,
    val recomputedShare: Double,
    val regionLinkBytes: Long = 0,
    val gatewayPeakMegabytes: Long = 0,
)

/** Runs the main job on loopback and verifies the content of every answer. */
internal class DemoProgram : CliktCommand(name = "demo") {
    private val json by option("--json", help = "Print one JSON object on one line").flag()
    private val seed by option("--seed", help = "Seed of the traffic").long().default(1)

    override fun help(context: Context): String =
        "Runs stand-ins and three gateways and verifies every answer.\n\nExample: bin/demo --json --seed 1"

    override fun run() {
        val fleet = Fleet(checkoutRoot, trialDirectory("demo"))
        Runtime.getRuntime().addShutdownHook(Thread { fleet.close() })
        fleet.start()
        val outcomes = runBlocking { Traffic(fleet.gateways, seed).run(REQUESTS, SPREAD_MILLIS) }
        val peak = fleet.gateways.maxOf { ResidentMemory.peakMegabytes(fleet.process(it.name).id) }
        val linkBytes = fleet.gateways.sumOf { it.regionLinkBytes() }
        val check = JournalCheck(fleet, outcomes)
        show(check, outcomes)
        val report = report(outcomes, check).copy(regionLinkBytes = linkBytes, gatewayPeakMegabytes = peak)
        echo(if (json) WireJson.encodeToString(DemoReport.serializer(), report) else report.toString())
        fleet.close()
        if (report.wrongAnswers + report.doubled + report.falseNotRun + report.violations > 0) throw ProgramResult(1)
    }

    private fun show(check: JournalCheck, outcomes: List<Outcome>) {
        check.faults().take(SHOWN).forEach { echo(it, err = true) }
        outcomes.filter { it.result != CallResult.ANSWERED }
            .groupingBy { "${it.result}: ${it.detail}" }.eachCount().entries
            .sortedByDescending { it.value }.take(SHOWN).forEach { echo("${it.value} x ${it.key}", err = true) }
    }

    private fun report(outcomes: List<Outcome>, check: JournalCheck): DemoReport {
        val waits = outcomes.filter { it.result == CallResult.ANSWERED && it.firstTokenMillis > 0 }
            .map { it.firstTokenMillis }.sorted()
        return DemoReport(
            seed = seed,
            requests = outcomes.size,
            answered = outcomes.count { it.result == CallResult.ANSWERED },
            refused = outcomes.count { it.result == CallResult.NOT_RUN },
            unknown = outcomes.count { it.result == CallResult.UNKNOWN || it.result == CallResult.BROKEN },
            wrongAnswers = outcomes.count { it.result == CallResult.WRONG },
            doubled = check.doubled().size,
            falseNotRun = check.falseNotRun().size,
            violations = check.violations().size,
            timeToFirstTokenP50Millis = waits.share(MEDIAN),
            timeToFirstTokenP95Millis = waits.share(HIGH),
            recomputedShare = check.recomputedShare(),
        )
    }

    private companion object {
        const val REQUESTS = 300
        const val SPREAD_MILLIS = 25_000L
        const val SHOWN = 10
        const val MEDIAN = 0.5
        const val HIGH = 0.95
    }
}

/** The value below which [share] of the sorted list lies, or 0 for an empty list. */
internal fun List<Long>.share(share: Double): Long = if (isEmpty()) 0 else this[((size - 1) * share).toInt()]

/** Bytes of prompt text that the gateway has sent to gateways of other regions. */
private fun GatewayPlace.regionLinkBytes(): Long = Web().get("$operations/metrics").body.lines()
    .filter { it.startsWith("parsleymoor_region_link_bytes_total") }
    .sumOf { it.substringAfterLast(' ').toDouble().toLong() }

/** Entry point of `bin/demo`. */
public fun main(arguments: Array<String>) {
    DemoProgram().main(arguments)
}
