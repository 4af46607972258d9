package org.parsleymoor.standins

import org.parsleymoor.clients.ListedInstance
import org.parsleymoor.clients.LoadedVersion
import org.parsleymoor.configuration.TomlSection
import org.parsleymoor.configuration.boolean
import org.parsleymoor.configuration.choice
import org.parsleymoor.configuration.count
import org.parsleymoor.configuration.long
import org.parsleymoor.configuration.text
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.ModelId
import org.parsleymoor.core.WeightVersion
import org.parsleymoor.core.ZoneId

/** Reads the settings of an engine stand-in; keys and defaults are those of [EngineSettings]. */
internal fun TomlSection.engineSettings(): EngineSettings {
    val default = EngineSettings(EndpointId(text("endpoint")))
    val speed = default.copy(
        prefillMillisPerPiece = long("prefillMillisPerPiece", default.prefillMillisPerPiece),
        millisPerToken = long("millisPerToken", default.millisPerToken),
        concurrent = count("concurrent", default.concurrent),
        queueLength = count("queueLength", default.queueLength),
        bytesPerPiece = long("bytesPerPiece", default.bytesPerPiece),
        cacheBytes = long("cacheBytes", default.cacheBytes),
    )
    val reports = speed.copy(
        loadReportMillis = long("loadReportMillis", default.loadReportMillis),
        loadLagMillis = long("loadLagMillis", default.loadLagMillis),
        eventLagMillis = long("eventLagMillis", default.eventLagMillis),
        eventHistory = count("eventHistory", default.eventHistory),
    )
    return coldSettings(reports).copy(
        host = text("host", default.host),
        port = port(),
        startCount = long("startCount", default.startCount),
        models = sections("models").map { LoadedVersion(ModelId(it.text("model")), WeightVersion(it.text("version"))) },
        weightLoadMillis = long("weightLoadMillis", default.weightLoadMillis),
        weightStore = text("weightStore", default.weightStore),
        fencing = choice("fencing", Fencing.entries.associateBy { it.name.lowercase() }, default.fencing),
        journalFile = text("journalFile", default.journalFile),
    )
}

private fun TomlSection.coldSettings(default: EngineSettings): EngineSettings = default.copy(
    startsCold = boolean("startsCold", default.startsCold),
    coldLimit = count("coldLimit", default.coldLimit),
    coldAnswers = count("coldAnswers", default.coldAnswers),
    coldMillis = long("coldMillis", default.coldMillis),
    coldOverload = choice(
        "coldOverload",
        mapOf("refuse" to ColdOverload.REFUSE, "fall-over" to ColdOverload.FALL_OVER),
        default.coldOverload,
    ),
    restartMillis = long("restartMillis", default.restartMillis),
)

/** Reads the settings of a KV cache store; keys and defaults are those of [StoreSettings]. */
internal fun TomlSection.storeSettings(): StoreSettings {
    val default = StoreSettings(EndpointId(text("endpoint")))
    return default.copy(
        host = text("host", default.host),
        port = port(),
        startCount = long("startCount", default.startCount),
        memoryBytes = long("memoryBytes", default.memoryBytes),
        diskBytes = long("diskBytes", default.diskBytes),
        memoryBytesPerSecond = long("memoryBytesPerSecond", default.memoryBytesPerSecond, 1..Long.MAX_VALUE),
        diskBytesPerSecond = long("diskBytesPerSecond", default.diskBytesPerSecond, 1..Long.MAX_VALUE),
        eventLagMillis = long("eventLagMillis", default.eventLagMillis),
        eventHistory = count("eventHistory", default.eventHistory),
        journalFile = text("journalFile", default.journalFile),
    )
}

/** Reads the settings of a plain service; keys and defaults are those of [ServiceSettings]. */
internal fun TomlSection.serviceSettings(): ServiceSettings {
    val default = ServiceSettings(EndpointId(text("endpoint")))
    return default.copy(
        host = text("host", default.host),
        port = port(),
        delayMillis = long("delayMillis", default.delayMillis),
        journalFile = text("journalFile", default.journalFile),
    )
}

/** Reads the settings of the weight store; keys and defaults are those of [WeightStoreSettings]. */
internal fun TomlSection.weightStoreSettings(): WeightStoreSettings {
    val default = WeightStoreSettings()
    return default.copy(
        host = text("host", default.host),
        port = port(),
        loadMillis = long("loadMillis", default.loadMillis),
        loadsAtFullRate = count("loadsAtFullRate", default.loadsAtFullRate),
    )
}

/** Reads the settings of the object service; keys and defaults are those of [PlatformSettings]. */
internal fun TomlSection.platformSettings(): PlatformSettings {
    val default = PlatformSettings()
    return default.copy(
        host = text("host", default.host),
        port = port(),
        delayMillis = long("delayMillis", default.delayMillis),
        writesPerSecond = count("writesPerSecond", default.writesPerSecond),
        readsPerSecond = count("readsPerSecond", default.readsPerSecond),
        maximumValueBytes = count("maximumValueBytes", default.maximumValueBytes),
        heartbeatMillis = long("heartbeatMillis", default.heartbeatMillis),
        instanceLagMillis = long("instanceLagMillis", default.instanceLagMillis),
        instances = sections("instances").map { it.listedInstance() },
    )
}

private fun TomlSection.listedInstance() = ListedInstance(
    instance = InstanceId(text("instance")),
    zone = ZoneId(text("zone")),
    peerAddress = text("peerAddress"),
)

private fun TomlSection.port(): Int = count("port", 0, 0..HIGHEST_PORT)

private const val HIGHEST_PORT = 65_535
