package org.parsleymoor.entry.control

import kotlinx.coroutines.CoroutineScope
import org.parsleymoor.core.Clock
import org.parsleymoor.entry.log.StructuredLog

/** Coroutine scope, ticks, log and clock of the control loops. */
internal class ControlRuntime(
    val scope: CoroutineScope,
    val ticks: ControlTicks,
    val log: StructuredLog,
    val clock: Clock,
)
