package org.parsleymoor.operator

import com.github.ajalt.clikt.command.test
import com.github.ajalt.clikt.testing.CliktCommandTestResult
import com.github.michaelbull.result.getError
import io.vertx.core.Vertx
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import org.parsleymoor.clients.HttpAddress
import org.parsleymoor.clients.LoadedVersion
import org.parsleymoor.clients.VertxOperationsClient
import org.parsleymoor.clients.VertxPlatformClient
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.ModelId
import org.parsleymoor.core.RegionId
import org.parsleymoor.core.WeightVersion
import org.parsleymoor.core.ZoneId
import org.parsleymoor.gateway.Gateway
import org.parsleymoor.gateway.GatewaySettings
import org.parsleymoor.gateway.OrderLeaseSettings
import org.parsleymoor.standins.EngineSettings
import org.parsleymoor.standins.EngineStandIn
import org.parsleymoor.standins.PlatformSettings
import org.parsleymoor.standins.PlatformStandIn
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import java.nio.file.Path
import kotlin.io.path.createDirectory
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

    /** Guards against a rollout command that changes the configuration and moves no engine. */
    @Test
    fun `a rollout is started, watched, finished and undone on running engines`(): Unit = runBlocking {
        val engines = List(ENGINES) { startEngine(it) }
        val settings = startDeployment()
        writeDeclarations(engines)
        run("apply ${directory.resolve("declared")}", settings)
        run("rollout start leaf 2", settings)
        awaitOutput("rollout status leaf", settings) { "4 of 4" in it && "rollout finish leaf" in it }
        expectThat(run("rollout finish leaf", settings).statusCode).isEqualTo(0)
        run("rollout start leaf 3", settings)
        awaitOutput("rollout status leaf", settings) { "0 of 4" !in it }
        expectThat(run("rollout undo leaf", settings).statusCode).isEqualTo(0)
        expectThat(run("rollout status leaf", settings).output).contains("no rollout is in effect")
        awaitOutput("describe endpoint engine-0", settings) { "holds leaf 2" in it && "leaf 1" !in it }
        awaitOutput("describe endpoint engine-3", settings) { "holds leaf 2" in it && "leaf 3" !in it }
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

    private suspend fun startEngine(index: Int): Int {
        val loaded = listOf(LoadedVersion(ModelId("leaf"), WeightVersion("1")))
        return EngineStandIn(vertx, EngineSettings(EndpointId("engine-$index"), models = loaded)).start()
    }

    private fun writeDeclarations(engines: List<Int>) {
        val endpoints = engines.mapIndexed { index, port ->
            "[[endpoint]]\nname = \"engine-$index\"\nkind = \"engine\"\naddress = \"127.0.0.1:$port\"\n" +
                "zone = \"north-a\"\nlabels = { fencing = \"checked\" }\n"
        }
        val zone = "[[zone]]\nname = \"north-a\"\nregion = \"north\"\n"
        val model = "[[model]]\nname = \"leaf\"\nversion = \"1\"\n"
        val limits = "[limits]\nrequestDeadlineMillis = 1000\n"
        val text = (listOf(zone, model, limits) + endpoints).joinToString("\n")
        directory.resolve("declared").createDirectory().resolve("all.toml").writeText(text)
    }

    private suspend fun awaitOutput(line: String, settings: Path, condition: (String) -> Boolean) {
        var output = ""
        val met = withTimeoutOrNull(LIMIT_MILLIS) {
            while (!condition(output)) {
                output = run(line, settings).output
                delay(POLL_MILLIS)
            }
        }
        check(met != null) { "expected another output of $line within $LIMIT_MILLIS ms, found $output" }
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
            orders = OrderLeaseSettings(leaseMillis = 3_000),
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
        const val ENGINES = 4
        const val LIMIT_MILLIS = 40_000L
        const val POLL_MILLIS = 100L
    }
}
