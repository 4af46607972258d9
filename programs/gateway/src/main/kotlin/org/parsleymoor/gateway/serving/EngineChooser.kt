package org.parsleymoor.gateway.serving

import com.github.michaelbull.result.Result
import org.parsleymoor.context.PromptHashes
import org.parsleymoor.core.AttemptId
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.ModelId
import org.parsleymoor.core.WeightVersion
import org.parsleymoor.placement.NoEngineAvailable
import org.parsleymoor.placement.Placement

/** What a request requires of an engine; attempts at the engines in [avoid] have failed. */
internal data class EngineRequirements(
    val model: ModelId,
    val version: WeightVersion,
    val promptHashes: PromptHashes,
    val avoid: Set<EndpointId> = emptySet(),
)

/**
 * The time to the first token of an attempt: [observedMillis] since the attempt started, and the [estimatedMillis] of
 * its placement. The engine prefilled [prefillTokens] in the last [prefillMillis] of that time; the tokens are 0 if it
 * did not report them.
 */
internal data class FirstTokenTiming(
    val observedMillis: Long,
    val estimatedMillis: Double,
    val prefillTokens: Long,
    val prefillMillis: Long,
)

/** Chooses engines and tracks their attempts. Functions return without waiting and are thread-safe. */
internal interface EngineChooser {
    /** Number of requests of [model] that the engines in service may run at once. */
    fun capacity(model: ModelId): Int

    /** Chooses an engine that meets [requirements] and counts [attempt] there until [finished]. */
    fun choose(requirements: EngineRequirements, attempt: AttemptId): Result<Placement, NoEngineAvailable>

    /** Counts another attempt at an engine that was chosen before. */
    fun recordRetry(endpoint: EndpointId, requirements: EngineRequirements, attempt: AttemptId)

    /** Records that [endpoint] started an attempt; [startCount] is from the stream's header. */
    fun started(endpoint: EndpointId, startCount: Long)

    /** Records the arrival of the first token of [attempt]. */
    fun firstToken(endpoint: EndpointId, attempt: AttemptId, timing: FirstTokenTiming)

    /** Records the end of [attempt]. */
    fun finished(attempt: AttemptId)

    /** Records that [endpoint] refused an attempt because it is cold. */
    fun refusedAsCold(endpoint: EndpointId)

    /** Suspects [endpoint] of being down: it failed on a new connection too, or cannot be reached. */
    fun suspect(endpoint: EndpointId)
}
