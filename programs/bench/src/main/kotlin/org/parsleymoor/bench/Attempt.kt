package org.parsleymoor.bench

import org.parsleymoor.core.AttemptId
import org.parsleymoor.placement.Placement

/** A request on its way through an engine. Callbacks run at the engine's times. */
internal class Attempt(
    val request: SimulatedRequest,
    val placement: Placement,
    val sentMillis: Double,
    val onFirstToken: (Attempt) -> Unit,
    val onFinished: (Attempt) -> Unit,
) {
    val id: AttemptId = AttemptId("${request.number}.0")
}
