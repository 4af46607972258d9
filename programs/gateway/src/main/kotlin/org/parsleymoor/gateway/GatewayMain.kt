package org.parsleymoor.gateway

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.path
import com.github.michaelbull.result.getOrElse
import io.github.oshai.kotlinlogging.KotlinLoggingConfiguration
import io.vertx.core.Vertx
import io.vertx.core.VertxOptions
import io.vertx.core.file.FileSystemOptions
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.runBlocking
import java.nio.file.Path

private const val STATUS_BAD_SETTINGS = 2

// Longer than the interval at which a load balancer asks for readiness.
private const val NOTICE_MILLIS = 2_000L

/** Runs a gateway until SIGTERM, or checks its settings. */
private class GatewayCommand : CliktCommand(name = "gateway") {
    private val settings by option("--settings", help = "The settings file, in TOML").path()

    override val invokeWithoutSubcommand: Boolean = true

    override fun help(context: Context): String =
        "Serves callers until SIGTERM, for example: bin/gateway --settings gateway.toml"

    override fun run() {
        if (currentContext.invokedSubcommand != null) return
        val file = settings ?: run {
            echo("expected --settings FILE, found none; try bin/gateway --help", err = true)
            throw ProgramResult(STATUS_BAD_SETTINGS)
        }
        serve(readSettings(file))
    }
}

/** Checks a settings file. */
private class CheckCommand : CliktCommand(name = "check") {
    private val file by argument(help = "The settings file").path()

    override fun help(context: Context): String =
        "Lists every mistake of a settings file, for example: bin/gateway check gateway.toml"

    override fun run() {
        readSettings(file)
        echo("$file: valid")
    }
}

private fun CliktCommand.readSettings(file: Path): GatewaySettings = GatewaySettings.read(file).getOrElse { mistakes ->
    echo(mistakes.message, err = true)
    throw ProgramResult(STATUS_BAD_SETTINGS)
}

private fun serve(settings: GatewaySettings): Nothing = runBlocking {
    val vertx = Vertx.vertx(vertxOptions())
    val gateway = Gateway(vertx, settings)
    gateway.start()
    // The virtual machine would exit with the signal's status; a finished drain is a success.
    val onSignal = Thread {
        runBlocking { gateway.stop(NOTICE_MILLIS) }
        Runtime.getRuntime().halt(0)
    }
    Runtime.getRuntime().addShutdownHook(onSignal)
    awaitCancellation()
}

/** Instances have no disk, so nothing is cached in files. */
private fun vertxOptions(): VertxOptions = VertxOptions().setFileSystemOptions(
    FileSystemOptions().setFileCachingEnabled(false).setClassPathResolvingEnabled(false),
)

/** Entry point of `bin/gateway`. */
public fun main(arguments: Array<String>) {
    // Standard output is for the answers of commands.
    KotlinLoggingConfiguration.logStartupMessage = false
    GatewayCommand().subcommands(CheckCommand()).main(arguments)
}
