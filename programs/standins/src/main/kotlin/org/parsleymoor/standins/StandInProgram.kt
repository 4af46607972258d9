package org.parsleymoor.standins

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.enum
import com.github.ajalt.clikt.parameters.types.path
import com.github.michaelbull.result.getOrElse
import io.github.oshai.kotlinlogging.KotlinLogging
import io.vertx.core.Vertx
import io.vertx.core.VertxOptions
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.runBlocking
import org.parsleymoor.configuration.SettingsReader
import org.parsleymoor.configuration.TomlSection

/** What a stand-in stands in for. */
internal enum class StandInKind { ENGINE, STORE, SERVICE, PLATFORM, WEIGHTS }

/** Runs one stand-in until its process ends, and writes `KIND PORT` to standard output once it listens. */
internal class StandInProgram : CliktCommand(name = "standin") {
    private val kind by argument(help = "engine, store, service, platform or weights")
        .enum<StandInKind>(ignoreCase = true) { it.name.lowercase() }
    private val settings by option("--settings", help = "TOML file with the settings of this kind")
        .path(mustExist = true, canBeDir = false).required()

    override fun help(context: Context): String =
        "Runs a stand-in of an outside system.\n\nExample: standin engine --settings engine-1.toml"

    override fun run(): Unit = runBlocking {
        val vertx = Vertx.vertx(VertxOptions().setEventLoopPoolSize(EVENT_LOOPS))
        val starter = SettingsReader.read(settings) { starter(vertx, it) }.getOrElse {
            echo(it.message, err = true)
            throw ProgramResult(STATUS_BAD_SETTINGS)
        }
        val port = starter()
        log.info { "${kind.name.lowercase()} stand-in listens on port $port" }
        echo("${kind.name.lowercase()} $port")
        awaitCancellation()
    }

    private fun starter(vertx: Vertx, section: TomlSection): suspend () -> Int = when (kind) {
        StandInKind.ENGINE -> section.engineSettings().let { { EngineStandIn(vertx, it).start() } }
        StandInKind.STORE -> section.storeSettings().let { { StoreStandIn(vertx, it).start() } }
        StandInKind.SERVICE -> section.serviceSettings().let { { ServiceStandIn(vertx, it).start() } }
        StandInKind.PLATFORM -> section.platformSettings().let { { PlatformStandIn(vertx, it).start() } }
        StandInKind.WEIGHTS -> section.weightStoreSettings().let { { WeightStoreStandIn(vertx, it).start() } }
    }

    private companion object {
        const val STATUS_BAD_SETTINGS = 2
        const val EVENT_LOOPS = 2
        val log = KotlinLogging.logger {}
    }
}

/** Entry point of `bin/standin`. */
public fun main(arguments: Array<String>) {
    StandInProgram().main(arguments)
}
