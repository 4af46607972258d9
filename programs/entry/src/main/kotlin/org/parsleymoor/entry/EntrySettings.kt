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
import org.parsleymoor.relay.limits.RetryBound
import java.nio.file.Path

/** Addresses that an entry daemon listens on. */
public data class ListenAddresses(
    public val callers: SocketAddress,
    public val readiness: SocketAddress,
    public val peers: SocketAddress,
    public val metrics: SocketAddress,
)

/**
 * Times that the operators set, in milliseconds. Two holders of the lease for orders keep [leaseMillis] between their
 * orders; a request must not begin on older weights later than [weightsMillis] after newer ones were named; an accepted
 * configuration is in force [applyMillis] later.
 */
public data class EntryTimes(
    public val graceMillis: Long,
    public val leaseMillis: Long,
    public val weightsMillis: Long,
    public val applyMillis: Long,
)

/** How far the load of a cold endpoint may exceed its stated rate: [overage] times the rate, and [slack] requests. */
public data class ColdAllowance(public val overage: Double, public val slack: Double)

/** Settings of one entry daemon, as its file states them. */
public data class EntrySettings(
    public val instance: InstanceId,
    public val zone: ZoneId,
    public val region: RegionId,
    public val zones: Map<ZoneId, RegionId>,
    public val listen: ListenAddresses,
    public val objectStore: SocketAddress,
    public val times: EntryTimes,
    public val retries: RetryBound,
    public val cold: ColdAllowance,
    /** Processor share of the machine, in cores. */
    public val processors: Double = 1.0,
    /** Where a few instances listen for peers, asked while the object store cannot be. */
    public val seeds: List<SocketAddress> = emptyList(),
) {
    public companion object {
        /** Reads the file at [path]; returns every mistake in it. */
        public fun read(path: Path): Result<EntrySettings, ValidationErrors> = SettingsReader.read(path, ::entry)

        /** Reads [text], the content of [file]; returns every mistake in it. */
        public fun parse(file: String, text: String): Result<EntrySettings, ValidationErrors> =
            SettingsReader.parse(file, text, ::entry)
    }
}

private fun entry(root: TomlSection): EntrySettings = EntrySettings(
    instance = InstanceId(root.text("instance")),
    zone = ZoneId(root.text("zone")),
    region = RegionId(root.text("region")),
    zones = root.textMap("zones").entries.associate { ZoneId(it.key) to RegionId(it.value) },
    listen = listen(root.section("listen")),
    objectStore = root.section("objectStore")?.address("address") ?: NOWHERE,
    times = times(root.section("times")),
    retries = retries(root.section("retries")),
    cold = cold(root.section("cold")),
    processors = processors(root.section("machine")),
    seeds = seeds(root),
)

private fun listen(section: TomlSection?): ListenAddresses = ListenAddresses(
    callers = section?.address("callers") ?: NOWHERE,
    readiness = section?.address("readiness") ?: NOWHERE,
    peers = section?.address("peers") ?: NOWHERE,
    metrics = section?.address("metrics") ?: NOWHERE,
)

private fun times(section: TomlSection?): EntryTimes = EntryTimes(
    graceMillis = section?.milliseconds("graceSeconds") ?: 0,
    leaseMillis = section?.number("leaseMillis")?.toLong() ?: 0,
    weightsMillis = section?.number("weightsMillis")?.toLong() ?: 0,
    applyMillis = section?.number("applyMillis")?.toLong() ?: 0,
)

private fun retries(section: TomlSection?): RetryBound = RetryBound(
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

private fun TomlSection.address(key: String): SocketAddress {
    val written = text(key)
    val address = SocketAddress.parse(written)
    if (address == null) addError(key, "an address of the form host:port", written)
    return address ?: NOWHERE
}

private val NOWHERE = SocketAddress("0.0.0.0", 1)
private const val MILLIS_PER_SECOND = 1_000
