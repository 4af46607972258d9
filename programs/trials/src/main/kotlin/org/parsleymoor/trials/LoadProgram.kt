package org.parsleymoor.trials

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.restrictTo
import org.parsleymoor.clients.WireJson
import java.lang.management.ManagementFactory

/** Measures one gateway in front of an engine that answers at once, against the engine called directly. */
internal class LoadProgram : CliktCommand(name = "load") {
    private val seconds by option("--seconds", help = "Length of each of the four parts").int()
        .restrictTo(1..MAXIMUM_SECONDS).default(DEFAULT_SECONDS)
    private val concurrency by option("--concurrency", help = "Callers at the same time").int()
        .restrictTo(1..MAXIMUM_CONCURRENCY).default(DEFAULT_CONCURRENCY)
    private val seed by option("--seed", help = "Seed of the contexts").long().default(1)
    private val json by option("--json", help = "Print one JSON object on one line").flag()

    override fun help(context: Context): String =
        "Measures one gateway against the engine stand-in called directly.\n\n" +
            "Exit status: 0 all bounds hold, 1 an answer was wrong or a process did not start, " +
            "3 a bound is missed.\n\n" +
            "Example: bin/load --seconds 10 --concurrency 16 --seed 1 --json"

    override fun run() {
        val pair = LoadPair(checkoutRoot, trialDirectory("load"), concurrency)
        Runtime.getRuntime().addShutdownHook(Thread { pair.close() })
        pair.start()
        val measured = LoadMeasurement(pair, LoadCalls(pair, seed), concurrency).run(seconds)
        val report = measured.copy(
            seed = seed,
            cores = Runtime.getRuntime().availableProcessors(),
            loadAverage = ManagementFactory.getOperatingSystemMXBean().systemLoadAverage,
            missedBounds = LoadBounds.missed(measured),
        )
        pair.close()
        show(report)
        if (report.wrongAnswers > 0) throw ProgramResult(STATUS_WRONG)
        if (report.missedBounds.isNotEmpty()) throw ProgramResult(STATUS_MISSED)
    }

    private fun show(report: LoadReport) {
        report.missedBounds.forEach { echo(it, err = true) }
        if (report.wrongAnswers > 0) echo("expected no wrong answer, found ${report.wrongAnswers}", err = true)
        echo(if (json) WireJson.encodeToString(LoadReport.serializer(), report) else report.toString())
    }

    private companion object {
        const val DEFAULT_SECONDS = 10
        const val MAXIMUM_SECONDS = 300
        const val DEFAULT_CONCURRENCY = 16
        const val MAXIMUM_CONCURRENCY = 256
        const val STATUS_WRONG = 1
        const val STATUS_MISSED = 3
    }
}

/** Entry point of `bin/load`. */
public fun main(arguments: Array<String>) {
    LoadProgram().main(arguments)
}
