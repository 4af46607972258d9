package org.parsleymoor.gateway.serving

import com.github.michaelbull.result.Result
import org.parsleymoor.context.PromptHashes
import org.parsleymoor.core.AttemptId
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.ModelId
import org.parsleymoor.core.WeightVersion
import org.parsleymoor.placement.NoEngineAvailable
import org.parsleymoor.placement.Placement

/** What a request needs of an engine; the engines in [avoid] have failed it. */
internal data class EngineRequirements(
    val model: ModelId,
    val version: WeightVersion,
    val promptHashes: PromptHashes,
    val avoid: Set<EndpointId> = emptySet(),
)

/**
 * The first token came [observedMillis] after the attempt began, where [estimatedMillis] had been expected. The engine
 * prefilled [prefillTokens] in the last [prefillMillis] of that time; 0 tokens when it did not say.
 */
internal data class FirstTokenTiming(
    val observedMillis: Long,
    val estimatedMillis: Double,
    val prefillTokens: Long,
    val prefillMillis: Long,
)

/** Chooses engines and is told how attempts go. Functions return without waiting and are safe from any thread. */
internal interface EngineChooser {
    /** Number of requests of [model] that the engines in service may run at once. */
    fun capacity(model: ModelId): Int

    /** Chooses an engine for [requirements] and counts [attempt] there until [finished]. */
    fun choose(requirements: EngineRequirements, attempt: AttemptId): Result<Placement, NoEngineAvailable>

    /** Counts another attempt at an engine that was chosen before. */
    fun recordRetry(endpoint: EndpointId, requirements: EngineRequirements, attempt: AttemptId)

    /** An engine began [attempt]; [startCount] is from the stream's header. */
    fun started(endpoint: EndpointId, startCount: Long)

    /** The first token of [attempt] has come as [timing] says. */
    fun firstToken(endpoint: EndpointId, attempt: AttemptId, timing: FirstTokenTiming)

    /** [attempt] has ended. */
    fun finished(attempt: AttemptId)

    /** [endpoint] refused because it is cold. */
    fun refusedAsCold(endpoint: EndpointId)

    /** [endpoint] failed also over a new connection, or cannot be reached. */
    fun suspect(endpoint: EndpointId)
}
