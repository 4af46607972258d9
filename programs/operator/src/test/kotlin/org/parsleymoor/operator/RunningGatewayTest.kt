package org.parsleymoor.operator

import com.github.ajalt.clikt.command.test
import com.github.ajalt.clikt.testing.CliktCommandTestResult
import com.github.michaelbull.result.getError
import io.vertx.core.Vertx
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import org.parsleymoor.clients.HttpAddress
import org.parsleymoor.clients.VertxOperationsClient
import org.parsleymoor.clients.VertxPlatformClient
import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.RegionId
import org.parsleymoor.core.ZoneId
import org.parsleymoor.gateway.Gateway
import org.parsleymoor.gateway.GatewaySettings
import org.parsleymoor.standins.PlatformSettings
import org.parsleymoor.standins.PlatformStandIn
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import java.nio.file.Path
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.writeText

class RunningGatewayTest {
    @TempDir
    lateinit var directory: Path

    private val vertx = Vertx.vertx()
    private val gateways = mutableListOf<Gateway>()

    @AfterEach
    fun close() {
        runBlocking { gateways.forEach { it.stop() } }
        vertx.close()
    }

    @Test
    fun `a change is in effect on running gateways when the command ends`(): Unit = runBlocking {
        val settings = startDeployment()
        val applied = run("apply examples/tally", settings)
        expectThat(applied.output).contains("revision 1 in effect on 2 of 2 instances")
        expectThat(run("zone out north-a", settings).output).contains("revision 2 in effect on 2 of 2 instances")
        expectThat(run("status", settings).output).contains("revision 2 is in effect everywhere")
    }

    @Test
    fun `a request that no running gateway has seen is not found`(): Unit = runBlocking {
        val explained = run("explain 00000000-0000-0000-0000-000000000000", startDeployment())
        expectThat(explained.statusCode).isEqualTo(ExitStatus.NOT_FOUND.code)
    }

    @Test
    fun `the example settings of gateways and operators have no mistake`() {
        val files = listOf("tally", "proofs").flatMap { Path.of("examples/settings/$it").listDirectoryEntries() }
        val mistakes = files.mapNotNull { file ->
            val isGateway = "gateway" in file.fileName.toString()
            (if (isGateway) GatewaySettings.read(file) else OperatorSettings.read(file)).getError()
        }
        expectThat(mistakes.firstOrNull()).isNull()
        expectThat(files.size).isEqualTo(FILES)
    }

    private suspend fun startDeployment(): Path {
        val platform = PlatformStandIn(vertx, PlatformSettings()).start()
        val ports = listOf("north-a", "south-a").map { startGateway(it, platform) }
        val settings = directory.resolve("operator.toml")
        val gateways = ports.joinToString { "\"127.0.0.1:$it\"" }
        settings.writeText("platform = \"127.0.0.1:$platform\"\noperator = \"ada\"\ngateways = [$gateways]\n")
        return settings
    }

    private suspend fun startGateway(zone: String, platform: Int): Int {
        val settings = GatewaySettings(
            instance = InstanceId("gateway-$zone"),
            zone = ZoneId(zone),
            region = RegionId(zone.substringBefore('-')),
            platform = HttpAddress("127.0.0.1", platform),
        )
        return Gateway(vertx, settings).also { gateways += it }.start().operations
    }

    private suspend fun run(line: String, settings: Path): CliktCommandTestResult {
        val command = parsleymoorCommand { read ->
            Deployment(read, VertxPlatformClient(vertx, read.platform), { VertxOperationsClient(vertx, it) })
        }
        return command.test(line.split(' ') + listOf("--settings", settings.toString()))
    }

    private companion object {
        const val FILES = 8
    }
}
