package org.parsleymoor.entry

import com.github.michaelbull.result.Result
import org.parsleymoor.configuration.SettingsReader
import org.parsleymoor.configuration.TomlSection
import org.parsleymoor.configuration.ValidationErrors
import org.parsleymoor.configuration.number
import org.parsleymoor.configuration.text
import org.parsleymoor.configuration.textMap
import org.parsleymoor.configuration.texts
import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.RegionId
import org.parsleymoor.core.ZoneId
import org.parsleymoor.relay.fleet.SocketAddress
import org.parsleymoor.relay.limits.ConnectionLimits
import org.parsleymoor.relay.limits.RetryLimit
import org.parsleymoor.relay.release.ExposureLimit
import org.parsleymoor.relay.zones.SpilloverCosts
import java.nio.file.Path

/** Addresses that an entry daemon listens on. */
public data class ListenAddresses(
    public val callers: SocketAddress,
    public val readiness: SocketAddress,
    public val peers: SocketAddress,
    public val metrics: SocketAddress,
)

/**
 * Times set by the operators. Orders of two holders of the order lease are at least [leaseMillis] apart; a request must
 * not start on older weights later than [weightsMillis] after newer ones were set; an accepted configuration takes
 * effect within [applyMillis]. Endpoints renew their entries every [heartbeatMillis]. The object store counts as
 * stable, and instances have to be up to date, [stableMillis] after a disruption, which delays operators' changes by
 * [skewMillis] at most.
 */
public data class EntryTimes(
    public val graceMillis: Long,
    public val leaseMillis: Long,
    public val weightsMillis: Long,
    public val applyMillis: Long,
    public val heartbeatMillis: Long = DEFAULT_HEARTBEAT_MILLIS,
    public val stableMillis: Long = DEFAULT_STABLE_MILLIS,
    public val skewMillis: Long = DEFAULT_SKEW_MILLIS,
) {
    /** Time that operators have to write again what the object store lost. */
    public val rewriteMillis: Long get() = stableMillis + skewMillis
}

/** Allowed load of a cold endpoint beyond its stated rate: [overage] times the rate, plus [slack] requests. */
public data class ColdAllowance(public val overage: Double, public val slack: Double)

/** Settings of one entry daemon, read from its settings file. */
public data class EntrySettings(
    public val instance: InstanceId,
    public val zone: ZoneId,
    public val region: RegionId,
    public val zones: Map<ZoneId, RegionId>,
    public val listen: ListenAddresses,
    public val objectStore: SocketAddress,
    public val times: EntryTimes,
    public val retries: RetryLimit,
    public val cold: ColdAllowance,
    /** Processor capacity of the machine available to this instance, in cores. */
    public val processors: Double = 1.0,
    /** Peer addresses of a few instances to connect to while the object store is unreachable. */
    public val seeds: List<SocketAddress> = emptyList(),
    /** What operators charge for prompts served outside their availability zone; null where only distances count. */
    public val spillover: SpilloverCosts? = null,
    /** Bounds on the traffic of new releases; without them the releases of a service are not told apart. */
    public val exposure: ExposureLimit? = null,
    /** Number of descriptors that the process may have open. */
    public val descriptors: Int = DEFAULT_DESCRIPTORS,
    /** Most connections of callers, or null if it follows from the descriptors and the heap. */
    public val callerConnections: Int? = null,
    /** Time in which a caller's request has to arrive while room is short. */
    public val unfinishedMillis: Long = ConnectionLimits.DEFAULT_UNFINISHED_MILLIS,
) {
    /** Limits of callers' connections for a process with [heapBytes] of heap. */
    public fun connectionLimits(heapBytes: Long): ConnectionLimits {
        val limits = ConnectionLimits.of(descriptors, heapBytes)
        return limits.copy(
            connections = callerConnections ?: limits.connections,
            unfinishedMillis = unfinishedMillis
        )
    }

    public companion object {
        /** Reads the settings file at [path]; a failure lists every mistake in it. */
        public fun read(path: Path): Result<EntrySettings, ValidationErrors> = SettingsReader.read(
            path,
            ::entrySettings
        )

        /** Parses [text], the content of [file]; a failure lists every mistake in it. */
        public fun parse(file: String, text: String): Result<EntrySettings, ValidationErrors> =
            SettingsReader.parse(file, text, ::entrySettings)
    }
}

private fun entrySettings(root: TomlSection): EntrySettings {
    // A section that is read twice reports the keys that each reader leaves to the other.
    val machine = root.section("machine")
    val callers = root.section("callers")
    return EntrySettings(
        instance = InstanceId(root.text("instance")),
        zone = ZoneId(root.text("zone")),
        region = RegionId(root.text("region")),
        zones = root.textMap("zones").entries.associate { ZoneId(it.key) to RegionId(it.value) },
        listen = listen(root.section("listen")),
        objectStore = root.section("objectStore")?.address("address") ?: PLACEHOLDER_ADDRESS,
        times = times(root.section("times")),
        retries = retries(root.section("retries")),
        cold = cold(root.section("cold")),
        processors = processors(machine),
        seeds = seeds(root),
        spillover = root.section("spillover")?.let(::spillover),
        exposure = root.section("exposure")?.let(::exposure),
        descriptors = machine?.count("descriptors", DEFAULT_DESCRIPTORS.toDouble()) ?: DEFAULT_DESCRIPTORS,
        callerConnections = callers?.count("connections", default = 0.0)?.takeIf { it > 0 },
        unfinishedMillis = callers?.count("unfinishedMillis", DEFAULT_UNFINISHED_MILLIS)?.toLong()
            ?: ConnectionLimits.DEFAULT_UNFINISHED_MILLIS,
    )
}

private fun listen(section: TomlSection?): ListenAddresses = ListenAddresses(
    callers = section?.address("callers") ?: PLACEHOLDER_ADDRESS,
    readiness = section?.address("readiness") ?: PLACEHOLDER_ADDRESS,
    peers = section?.address("peers") ?: PLACEHOLDER_ADDRESS,
    metrics = section?.address("metrics") ?: PLACEHOLDER_ADDRESS,
)

private fun times(section: TomlSection?): EntryTimes = EntryTimes(
    graceMillis = section?.milliseconds("graceSeconds") ?: 0,
    leaseMillis = section?.number("leaseMillis")?.toLong() ?: 0,
    weightsMillis = section?.number("weightsMillis")?.toLong() ?: 0,
    applyMillis = section?.number("applyMillis")?.toLong() ?: 0,
    heartbeatMillis = section?.number("heartbeatMillis", default = DEFAULT_HEARTBEAT_MILLIS.toDouble())?.toLong()
        ?: DEFAULT_HEARTBEAT_MILLIS,
    stableMillis = section?.number("stableMillis", default = DEFAULT_STABLE_MILLIS.toDouble())?.toLong()
        ?: DEFAULT_STABLE_MILLIS,
    skewMillis = section?.number("skewMillis", default = DEFAULT_SKEW_MILLIS.toDouble())?.toLong()
        ?: DEFAULT_SKEW_MILLIS,
)

private fun retries(section: TomlSection?): RetryLimit = RetryLimit(
    share = section?.number("share") ?: 0.0,
    extra = section?.number("extra") ?: 0.0,
    windowMillis = section?.milliseconds("windowSeconds")?.coerceAtLeast(1) ?: 1,
)

private fun cold(section: TomlSection?): ColdAllowance =
    ColdAllowance(overage = section?.number("overage") ?: 1.0, slack = section?.number("slack") ?: 0.0)

private fun processors(section: TomlSection?): Double =
    (section?.number("share", default = 1.0) ?: 1.0) * (section?.number("cores", default = 1.0) ?: 1.0)

private fun seeds(root: TomlSection): List<SocketAddress> =
    root.texts("seeds", default = emptyList(), expected = "addresses of the form host:port") {
        SocketAddress.parse(it) != null
    }.mapNotNull { SocketAddress.parse(it) }

private fun TomlSection.milliseconds(key: String): Long = (number(key) * MILLIS_PER_SECOND).toLong()

private fun TomlSection.count(key: String, default: Double): Int =
    number(key, default = default, range = 0.0..MAX_COUNT).toInt()

private fun TomlSection.address(key: String): SocketAddress {
    val value = text(key)
    val address = SocketAddress.parse(value)
    if (address == null) addError(key, "an address of the form host:port", value)
    return address ?: PLACEHOLDER_ADDRESS
}

// Stands in for an address that is missing or invalid, which is recorded as a mistake.
private val PLACEHOLDER_ADDRESS = SocketAddress("0.0.0.0", 1)
private const val DEFAULT_HEARTBEAT_MILLIS = 1_200L
internal const val DEFAULT_STABLE_MILLIS = 4_000L
private const val DEFAULT_SKEW_MILLIS = 6_000L
private const val DEFAULT_DESCRIPTORS = 4_096
private const val DEFAULT_UNFINISHED_MILLIS = ConnectionLimits.DEFAULT_UNFINISHED_MILLIS.toDouble()
private const val MAX_COUNT = 1e9
private const val MILLIS_PER_SECOND = 1_000
