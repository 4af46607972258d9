package org.parsleymoor.entry.control

import kotlinx.coroutines.CoroutineScope
import org.parsleymoor.core.Clock
import org.parsleymoor.entry.log.DecisionLog
import org.parsleymoor.entry.net.ControlClient
import org.parsleymoor.entry.protocol.EngineProtocol
import org.parsleymoor.entry.serving.Beliefs

/** What the control loops share. */
internal class ControlContext(
    val beliefs: Beliefs,
    val client: ControlClient,
    val engines: EngineProtocol,
    val scope: CoroutineScope,
    val log: DecisionLog,
    val clock: Clock,
)
