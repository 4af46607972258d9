package org.parsleymoor.trials

import org.parsleymoor.configuration.Configuration
import org.parsleymoor.configuration.ConfigurationRoot
import org.parsleymoor.configuration.toSections
import org.parsleymoor.standins.FreePorts
import java.nio.file.Files
import java.nio.file.Path

/**
 * The processes of one trial in [directory]: every stand-in and three gateways. They run from the jars under [root], or
 * from [classPath] when it is given.
 */
internal class Fleet(
    private val root: Path,
    private val directory: Path,
    private val classPath: String? = null,
) : AutoCloseable {
    private val web = Web()
    private val processes = ArrayList<ChildProcess>()
    private val freePorts = FreePorts()
    private val platformPort = freePorts.next()

    /** The address of the object service. */
    val platform: String get() = "http://127.0.0.1:$platformPort"
    val ports: Map<String, Int> = Deployment.sites.associate { it.name to freePorts.next() }
    val gateways: List<GatewayPlace> = Deployment.zones.entries.mapIndexed { index, (zone, region) ->
        GatewayPlace("gateway-${index + 1}", zone, region, freePorts.next(), freePorts.next(), freePorts.next())
    }

    /** Starts everything and returns when each gateway is ready; throws [IllegalStateException] when one is not. */
    fun start() {
        Files.createDirectories(directory)
        standIn("platform", "platform", platformSettings(platformPort))
        Deployment.sites.forEach { standIn(it.name, it.kind.name.lowercase(), siteSettings(it)) }
        awaitReady("the platform") { web.get("http://127.0.0.1:$platformPort/calls").status == OK }
        publish(Deployment.configuration(1, ports), expectedVersion = 0)
        gateways.forEach { startGateway(it) }
        gateways.forEach { it.awaitReady() }
    }

    /** The journal file of the endpoint [name]. */
    fun journal(name: String): Path = directory.resolve("$name.journal")

    /** The process [name]. */
    fun process(name: String): ChildProcess = processes.first { it.name == name }

    /** Sets the faults of the stand-in [name] to the JSON [body]. */
    fun setFaults(name: String, body: String) {
        val port = if (name == "platform") platformPort else ports.getValue(name)
        web.post("http://127.0.0.1:$port/faults", body)
    }

    /** Writes the sections and then the root, so that a reader of the root finds every section. */
    fun publish(configuration: Configuration, expectedVersion: Long) {
        val sections = configuration.toSections()
        sections.forEach { put(it.reference.objectName, it.text, 0) }
        val root = ConfigurationRoot(configuration.revision, "trial", sections.map { it.reference })
        put(ConfigurationRoot.NAME, root.toJson(), expectedVersion)
    }

    override fun close() {
        processes.forEach { it.kill() }
    }

    private fun put(name: String, value: String, expectedVersion: Long) {
        val path = "objects/${ConfigurationRoot.KIND}/$name?expectedVersion=$expectedVersion&writeId=trial"
        // A new client, because a fault may have silenced the connections that an earlier one keeps open.
        Web().put("http://127.0.0.1:$platformPort/$path", value)
    }

    private fun standIn(name: String, kind: String, settings: String) {
        val file = Files.writeString(directory.resolve("$name.toml"), settings)
        val target = root.resolve("programs/standins/target")
        val path = classPath ?: "$target/standins-0.1.0-SNAPSHOT.jar:$target/lib/*"
        val java = listOf("java", "-Xmx256m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-cp", path)
        val command = java + listOf("org.parsleymoor.standins.StandInProgramKt", kind, "--settings", file.toString())
        processes += ChildProcess(name, command, directory)
    }

    private fun startGateway(place: GatewayPlace) {
        val file = Files.writeString(directory.resolve("${place.name}.toml"), place.settings(platformPort))
        val program = classPath?.let { listOf("java", "-Xmx512m", "-cp", it, "org.parsleymoor.gateway.GatewayMainKt") }
            ?: listOf(root.resolve("bin/gateway").toString())
        val command = program + listOf("--settings", file.toString())
        processes += ChildProcess(place.name, command, directory)
    }

    private companion object {
        const val OK = 200
    }
}

/** One gateway of the fleet and its ports. */
internal data class GatewayPlace(
    val name: String,
    val zone: String,
    val region: String,
    val callerPort: Int,
    val operationsPort: Int,
    val peerPort: Int,
) {
    val callers: String get() = "http://127.0.0.1:$callerPort"
    val operations: String get() = "http://127.0.0.1:$operationsPort"

    /** The settings of the gateway; without [platformPort] it is handed its configuration. */
    fun settings(platformPort: Int? = null): String = """
        instance = "$name"
        zone = "$zone"
        region = "$region"
        [callers]
        port = $callerPort
        [operations]
        port = $operationsPort
        [peers]
        port = $peerPort
    """.trimIndent() + platformPort?.let {
        "\n[platform]\naddress = \"127.0.0.1:$it\""
    }.orEmpty()
}
