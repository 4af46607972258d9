package org.parsleymoor.standins

import org.parsleymoor.clients.LoadedVersion
import org.parsleymoor.core.EndpointId

/** What an engine does when it gets more than its cold limit while it is cold. */
public enum class ColdOverload { REFUSE, FALL_OVER }

/** Whether an engine refuses an order whose fencing token is lower than one it has seen. */
public enum class Fencing { CHECKED, IGNORED }

/**
 * How an engine stand-in listens, how fast it works and what it holds. Without [models] it serves any model and
 * version. [weightStore] is the `host:port` of the weight store; without one a load takes [weightLoadMillis].
 * [journalFile] keeps the journal across a kill of the process.
 */
public data class EngineSettings(
    public val endpoint: EndpointId,
    public val host: String = "127.0.0.1",
    public val port: Int = 0,
    public val startCount: Long = 1,
    public val prefillMillisPerPiece: Long = 20,
    public val millisPerToken: Long = 2,
    public val concurrent: Int = 16,
    public val queueLength: Int = 64,
    public val bytesPerPiece: Long = 100_000_000,
    public val cacheBytes: Long = 6_000_000_000,
    public val loadReportMillis: Long = 50,
    public val loadLagMillis: Long = 100,
    public val eventLagMillis: Long = 100,
    public val eventHistory: Int = 1_000,
    public val startsCold: Boolean = false,
    public val coldLimit: Int = 2,
    public val coldAnswers: Int = 20,
    public val coldMillis: Long = 30_000,
    public val coldOverload: ColdOverload = ColdOverload.REFUSE,
    public val restartMillis: Long = 1_000,
    public val models: List<LoadedVersion> = emptyList(),
    public val weightLoadMillis: Long = 950,
    public val weightStore: String = "",
    public val fencing: Fencing = Fencing.CHECKED,
    public val journalFile: String = "",
)
