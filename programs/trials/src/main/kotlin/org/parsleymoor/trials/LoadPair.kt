package org.parsleymoor.trials

import org.parsleymoor.clients.ConfigurationOffer
import org.parsleymoor.clients.WireJson
import org.parsleymoor.configuration.Configuration
import org.parsleymoor.configuration.ConfigurationRoot
import org.parsleymoor.configuration.EndpointKind
import org.parsleymoor.configuration.LimitsDeclaration
import org.parsleymoor.configuration.toSections
import org.parsleymoor.standins.FreePorts
import java.nio.file.Files
import java.nio.file.Path

/** One engine stand-in that answers at once and one gateway in front of it, as processes on loopback. */
internal class LoadPair(
    private val root: Path,
    private val directory: Path,
    private val concurrency: Int,
) : AutoCloseable {
    private val web = Web()
    private val processes = ArrayList<ChildProcess>()
    private val freePorts = FreePorts()
    private val enginePort = freePorts.next()
    private val place =
        GatewayPlace("gateway-1", ZONE, "north", freePorts.next(), freePorts.next(), freePorts.next())

    /** Where the engine takes requests. */
    val engine: String get() = "http://127.0.0.1:$enginePort"

    /** Where the gateway takes requests. */
    val callers: String get() = place.callers

    /** The process number of the gateway. */
    val gatewayId: Long get() = processes.first { it.name == place.name }.id

    /** Starts both; throws [IllegalStateException] when one is not ready in time. */
    fun start() {
        Files.createDirectories(directory)
        launch(SITE.name, listOf("bin/standin", "engine"), engineSettings())
        awaitReady(SITE.name) { web.get("$engine/v1/load").status == OK }
        launch(place.name, listOf("bin/gateway"), place.settings())
        awaitReady(place.name) { web.get("${place.operations}/health").status == OK }
        offer()
        place.awaitReady()
    }

    override fun close() {
        processes.forEach { it.stop() }
    }

    private fun launch(name: String, program: List<String>, settings: String) {
        val file = Files.writeString(directory.resolve("$name.toml"), settings)
        val command = listOf(root.resolve(program.first()).toString()) + program.drop(1)
        processes += ChildProcess(name, command + listOf("--settings", file.toString()), directory)
    }

    private fun offer() {
        val configuration = configuration()
        val sections = configuration.toSections()
        val root = ConfigurationRoot(configuration.revision, "load", sections.map { it.reference })
        val offer = ConfigurationOffer(root.toJson(), sections.associate { it.reference.hash to it.text })
        val answer = web.post(
            "${place.operations}/configuration",
            WireJson.encodeToString(ConfigurationOffer.serializer(), offer),
        )
        check(answer.status == OK) { "expected the gateway to accept the configuration, found ${answer.body}" }
    }

    private fun configuration(): Configuration {
        val whole = Deployment.configuration(1, Deployment.sites.associate { it.name to enginePort })
        return whole.copy(
            endpoints = whole.endpoints.filter { it.name.value == SITE.name },
            limits = LimitsDeclaration(concurrentPerEngine = concurrency),
        )
    }

    private fun engineSettings() = """
        endpoint = "${SITE.name}"
        port = $enginePort
        prefillMillisPerPiece = 0
        millisPerToken = 0
        concurrent = $concurrency
        queueLength = $concurrency
        [[models]]
        model = "leaf"
        version = "1"
    """.trimIndent()

    private companion object {
        const val OK = 200
        const val ZONE = "north-a"
        val SITE = Deployment.sites.first { it.kind == EndpointKind.ENGINE }
    }
}
