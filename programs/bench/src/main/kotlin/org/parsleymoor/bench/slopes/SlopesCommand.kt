package org.parsleymoor.bench.slopes

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.path
import io.github.oshai.kotlinlogging.KotlinLoggingConfiguration
import java.nio.file.Files

/** The program `bin/slopes`. */
public class SlopesCommand : CliktCommand(name = "slopes") {
    private val short by option(help = "Measure the small sizes only; takes a few seconds.").flag()
    private val page by option(help = "Rewrite the table of this page, for example docs/CAPACITY.md.")
        .path(mustExist = true, canBeDir = false)
    private val plots by option(help = "Write plots to this directory, for example docs/plots.").path()

    override fun help(context: Context): String =
        "Measures what control costs a daemon as the system grows.\n\nExample: bin/slopes --page docs/CAPACITY.md"

    override fun run() {
        val slopes = measureSlopes(if (short) SlopeForm.Short else SlopeForm.Full)
        val table = slopeTable(slopes)
        echo(table)
        page?.let { Files.writeString(it, replaceGenerated(Files.readString(it), "slopes", table)) }
        plots?.let { writeSlopePlots(slopes, it) }
    }
}

/** Runs [SlopesCommand]. */
public fun main(arguments: Array<String>) {
    // The message would precede the table on standard output.
    KotlinLoggingConfiguration.logStartupMessage = false
    SlopesCommand().main(arguments)
}
