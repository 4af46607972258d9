package org.parsleymoor.entry.serving

import org.parsleymoor.core.Clock
import org.parsleymoor.entry.EntryMetrics
import org.parsleymoor.entry.log.DecisionLog

/** What the steps of serving a request share. */
internal class ServingContext(
    val beliefs: Beliefs,
    val log: DecisionLog,
    val metrics: EntryMetrics,
    val clock: Clock,
    val lag: LoopLag = LoopLag(clock),
)
