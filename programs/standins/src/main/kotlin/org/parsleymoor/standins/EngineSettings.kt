package org.parsleymoor.standins

import org.parsleymoor.core.EndpointId

/** How an engine stand-in listens and how fast it works. */
public data class EngineSettings(
    public val endpoint: EndpointId,
    public val host: String = "127.0.0.1",
    public val port: Int = 0,
    public val startCount: Long = 1,
    public val prefillMillisPerPiece: Long = 20,
    public val millisPerToken: Long = 2,
)
