package org.parsleymoor.operator

import com.github.ajalt.clikt.command.test
import com.github.ajalt.clikt.testing.CliktCommandTestResult
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.ext.web.client.WebClient
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.runBlocking
import org.parsleymoor.clients.HttpAddress
import org.parsleymoor.clients.PlatformClient
import org.parsleymoor.clients.VertxPlatformClient
import org.parsleymoor.clients.WireJson
import org.parsleymoor.standins.PlatformFaults
import org.parsleymoor.standins.PlatformSettings
import org.parsleymoor.standins.PlatformStandIn
import java.nio.file.Path
import kotlin.io.path.writeText

/** The object service stand-in, three gateways in memory, and the program's commands run in this process. */
internal class OperatorBench(private val directory: Path) : AutoCloseable {
    private val vertx = Vertx.vertx()
    private val web = WebClient.create(vertx)
    private val port = runBlocking { PlatformStandIn(vertx, PlatformSettings()).start() }
    val gateways = listOf("north-a", "north-b", "south-a").mapIndexed { index, zone -> FakeGateway(index + 1, zone) }
    val platform: PlatformClient = VertxPlatformClient(vertx, HttpAddress("127.0.0.1", port))

    /** Runs a command line as [operator], through [through] to the platform. */
    suspend fun run(
        line: String,
        operator: String = "ada",
        through: PlatformClient = platform,
    ): CliktCommandTestResult {
        val settings = directory.resolve("$operator.toml")
        val addresses = gateways.indices.joinToString { "\"127.0.0.1:709${it + 1}\"" }
        settings.writeText(
            "platform = \"127.0.0.1:$port\"\noperator = \"$operator\"\ngateways = [$addresses]\nwaitMillis = 500\n",
        )
        val command = parsleymoorCommand { read -> Deployment(read, through, { gateways[it.port - FIRST_PORT] }) }
        return command.test(line.split(' '), envvars = mapOf("PARSLEYMOOR_SETTINGS" to settings.toString()))
    }

    /** Sets the faults of the object service. */
    suspend fun fail(faults: PlatformFaults) {
        web.post(port, "127.0.0.1", "/faults")
            .sendBuffer(Buffer.buffer(WireJson.encodeToString(PlatformFaults.serializer(), faults))).coAwait()
    }

    override fun close() {
        vertx.close()
    }

    private companion object {
        const val FIRST_PORT = 7_091
    }
}
