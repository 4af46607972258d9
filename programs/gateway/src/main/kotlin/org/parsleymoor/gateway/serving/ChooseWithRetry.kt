package org.parsleymoor.gateway.serving

import com.github.michaelbull.result.Result
import kotlinx.coroutines.delay
import org.parsleymoor.core.AttemptId
import org.parsleymoor.core.Clock
import org.parsleymoor.placement.NoEngineAvailable
import org.parsleymoor.placement.Placement

/**
 * Chooses an engine, and retries for up to [waitMillis] while none is available: another gateway may have taken the
 * slot that the request was admitted for, and the engines that can resume a broken stream may be full for a moment.
 */
internal suspend fun EngineChooser.chooseWithRetry(
    requirements: EngineRequirements,
    attempt: AttemptId,
    clock: Clock,
    waitMillis: Long = 2_000,
): Result<Placement, NoEngineAvailable> {
    val giveUpMillis = clock.nowMillis() + waitMillis
    var placement = choose(requirements, attempt)
    while (placement.isErr && clock.nowMillis() < giveUpMillis) {
        delay(RETRY_INTERVAL_MILLIS)
        placement = choose(requirements, attempt)
    }
    return placement
}

private const val RETRY_INTERVAL_MILLIS = 50L
