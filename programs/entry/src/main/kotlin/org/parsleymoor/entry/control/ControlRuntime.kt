package org.parsleymoor.entry.control

import kotlinx.coroutines.CoroutineScope
import org.parsleymoor.core.Clock
import org.parsleymoor.entry.log.StructuredLog

/** What the control loops run on. */
internal class ControlRuntime(
    val scope: CoroutineScope,
    val ticks: ControlTicks,
    val log: StructuredLog,
    val clock: Clock,
)
