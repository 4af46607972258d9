package org.parsleymoor.gateway

import com.github.michaelbull.result.Result
import org.parsleymoor.clients.HttpAddress
import org.parsleymoor.configuration.SettingsReader
import org.parsleymoor.configuration.TomlSection
import org.parsleymoor.configuration.ValidationErrors
import org.parsleymoor.configuration.count
import org.parsleymoor.configuration.long
import org.parsleymoor.configuration.text
import org.parsleymoor.coordination.LeaseSettings
import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.RegionId
import org.parsleymoor.core.ZoneId
import java.nio.file.Path

/** The settings of one gateway process. [platform] is null in a process that is only handed its configuration. */
public data class GatewaySettings(
    public val instance: InstanceId,
    public val zone: ZoneId,
    public val region: RegionId,
    public val callers: CallerSettings = CallerSettings(),
    public val operations: ListenSettings = ListenSettings(),
    public val peers: ListenSettings = ListenSettings(),
    public val platform: HttpAddress? = null,
    public val streams: StreamSettings = StreamSettings(),
    public val tracing: TracingSettings = TracingSettings(),
    public val orders: OrderLeaseSettings = OrderLeaseSettings(),
    public val drainMillis: Long = DEFAULT_DRAIN_MILLIS,
) {
    public companion object {
        /** Time that a stopping gateway gives running requests to finish. */
        public const val DEFAULT_DRAIN_MILLIS: Long = 30_000

        /** Reads the file at [path]; returns every mistake in it. */
        public fun read(path: Path): Result<GatewaySettings, ValidationErrors> = SettingsReader.read(path, ::gateway)

        /** Reads [text], the content of [file]; returns every mistake in it. */
        public fun parse(file: String, text: String): Result<GatewaySettings, ValidationErrors> =
            SettingsReader.parse(file, text, ::gateway)
    }
}

/** Where a server listens; port 0 lets the operating system choose. */
public data class ListenSettings(public val host: String = "127.0.0.1", public val port: Int = 0)

/** The callers' HTTP server. A sender has [senderMillis] for the head of a request and as long for its body. */
public data class CallerSettings(
    public val listen: ListenSettings = ListenSettings(),
    public val maximumHeaderBytes: Int = 16_384,
    public val senderMillis: Long = 10_000,
    public val eventLoops: Int = 2,
)

/** Streams from engines: [silenceMillis] is added to the estimated time to the first token. */
public data class StreamSettings(public val silenceMillis: Long = 5_000, public val maximumAttempts: Int = 4)

/** Export of spans: [endpoint] is the URL of an OTLP collector over gRPC, empty for no export. */
public data class TracingSettings(public val endpoint: String = "")

/** The lease on orders to engines: a gateway that takes it over first waits for [leaseMillis]. */
public data class OrderLeaseSettings(public val leaseMillis: Long = 15_000) {
    internal fun lease() = LeaseSettings(durationMillis = leaseMillis, renewMillis = leaseMillis / RENEWALS)

    private companion object {
        const val RENEWALS = 3
    }
}

private const val MAXIMUM_PORT = 65_535
private const val MAXIMUM_MILLIS = 3_600_000L
private const val MINIMUM_LEASE_MILLIS = 3_000L
private val NAME = Regex("[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
private val URL = Regex("https?://[^\\s/]+.*")
private const val MINIMUM_HEADER_BYTES = 1_024
private const val MAXIMUM_HEADER_BYTES = 1_048_576
private const val MAXIMUM_EVENT_LOOPS = 64
private const val MAXIMUM_ATTEMPTS = 16
private val HEADER_BYTES = MINIMUM_HEADER_BYTES..MAXIMUM_HEADER_BYTES

private fun gateway(section: TomlSection) = GatewaySettings(
    instance = InstanceId(section.name("instance")),
    zone = ZoneId(section.name("zone")),
    region = RegionId(section.name("region")),
    callers = section.section("callers")?.let { callers(it) } ?: CallerSettings(),
    operations = section.section("operations")?.let { listen(it) } ?: ListenSettings(),
    peers = section.section("peers")?.let { listen(it) } ?: ListenSettings(),
    platform = section.section("platform")?.let { address(it) },
    streams = section.section("streams")?.let { streams(it) } ?: StreamSettings(),
    tracing = section.section("tracing")?.let { tracing(it) } ?: TracingSettings(),
    orders = section.section("orders")?.let { orders(it) } ?: OrderLeaseSettings(),
    drainMillis = section.long("drainMillis", GatewaySettings.DEFAULT_DRAIN_MILLIS, 0..MAXIMUM_MILLIS),
)

private fun callers(section: TomlSection): CallerSettings {
    val defaults = CallerSettings()
    return CallerSettings(
        listen = listen(section),
        maximumHeaderBytes = section.count("maximumHeaderBytes", defaults.maximumHeaderBytes, HEADER_BYTES),
        senderMillis = section.long("senderMillis", defaults.senderMillis, 1..MAXIMUM_MILLIS),
        eventLoops = section.count("eventLoops", defaults.eventLoops, 1..MAXIMUM_EVENT_LOOPS),
    )
}

private fun listen(section: TomlSection) = ListenSettings(
    host = section.text("host", "127.0.0.1", "a numeric IP address") { it.isNotBlank() },
    port = section.count("port", null, 0..MAXIMUM_PORT),
)

private fun streams(section: TomlSection): StreamSettings {
    val defaults = StreamSettings()
    return StreamSettings(
        silenceMillis = section.long("silenceMillis", defaults.silenceMillis, 1..MAXIMUM_MILLIS),
        maximumAttempts = section.count("maximumAttempts", defaults.maximumAttempts, 1..MAXIMUM_ATTEMPTS),
    )
}

private fun tracing(section: TomlSection) = TracingSettings(
    endpoint = section.text("endpoint", "", "a URL such as \"http://10.0.0.9:4317\"") { URL.matches(it) },
)

private fun orders(section: TomlSection) = OrderLeaseSettings(
    leaseMillis = section.long(
        "leaseMillis",
        OrderLeaseSettings().leaseMillis,
        MINIMUM_LEASE_MILLIS..MAXIMUM_MILLIS,
    ),
)

private fun address(section: TomlSection): HttpAddress? {
    val text = section.text("address", null, "host:port") { parseAddress(it) != null }
    return parseAddress(text)
}

private fun parseAddress(text: String): HttpAddress? {
    val port = text.substringAfterLast(':', "").toIntOrNull()
    val host = text.substringBeforeLast(':')
    return if (port != null && port in 1..MAXIMUM_PORT && host.isNotBlank()) HttpAddress(host, port) else null
}

private fun TomlSection.name(key: String): String =
    text(key, null, "letters, digits, dots, dashes and underscores, at most 63") { NAME.matches(it) }
