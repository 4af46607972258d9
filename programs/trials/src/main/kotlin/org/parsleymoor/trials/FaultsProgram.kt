package org.parsleymoor.trials

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.enum
import com.github.ajalt.clikt.parameters.types.long
import org.parsleymoor.clients.WireJson

/** The fault experiments with real processes on loopback. */
internal class FaultsProgram : CliktCommand(name = "faults") {
    override fun help(context: Context): String = "Runs fault experiments with real processes on loopback."

    override fun run() = Unit
}

/** Runs one experiment and checks it. */
internal class FaultRunCommand : CliktCommand(name = "run") {
    private val name by argument(help = "The experiment").enum<FaultName> { it.argument }
    private val seed by option("--seed", help = "Seed of the traffic and of what the faults hit").long().default(1)
    private val json by option("--json", help = "Print one JSON object on one line").flag()

    override fun help(context: Context): String =
        "Sends verified traffic before, during and after a fault.\n\nExample: bin/faults run gateway-killed --seed 1"

    override fun run() {
        val fleet = Fleet(checkoutRoot, trialDirectory("faults-${name.argument}-$seed"))
        val result = FaultRun(fleet, name, seed).use { it.run() }
        result.details.forEach { echo(it, err = true) }
        result.failures.forEach { echo("failed: $it", err = true) }
        echo(if (json) WireJson.encodeToString(FaultReport.serializer(), result.report) else result.report.toString())
        if (result.failures.isNotEmpty()) throw ProgramResult(1)
    }
}

/** Entry point of `bin/faults`. */
public fun main(arguments: Array<String>) {
    FaultsProgram().subcommands(FaultRunCommand()).main(arguments)
}
