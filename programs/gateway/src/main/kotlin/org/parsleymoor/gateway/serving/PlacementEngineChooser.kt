package org.parsleymoor.gateway.serving

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.onSuccess
import org.apache.commons.rng.simple.RandomSource
import org.parsleymoor.context.PromptHashes
import org.parsleymoor.core.AttemptId
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.ModelId
import org.parsleymoor.gateway.ConfigurationHolder
import org.parsleymoor.limits.ColdStartEvent
import org.parsleymoor.placement.CostBasedPolicy
import org.parsleymoor.placement.NoEngineAvailable
import org.parsleymoor.placement.Placement
import org.parsleymoor.placement.PlacementPolicy

/** Chooses engines with a [PlacementPolicy] and updates [state] as attempts proceed. */
internal class PlacementEngineChooser(
    private val configuration: ConfigurationHolder,
    private val state: FleetState,
    private val policy: PlacementPolicy = CostBasedPolicy(),
) : EngineChooser {
    private val random = RandomSource.XO_SHI_RO_256_PP.create()

    override fun capacity(model: ModelId): Int {
        val view = configuration.current ?: return 0
        return synchronized(state.lock) {
            view.enginesOf(model).filter { view.takesNewWork(it.name) && !state.isSuspect(it.name) }
                .filter { state.coldStartGuard.maySend(it.name, 0, state.clock.nowMillis()) }
                .sumOf { state.limit(it.name, view) }
        }
    }

    override fun choose(requirements: EngineRequirements, attempt: AttemptId): Result<Placement, NoEngineAvailable> =
        synchronized(state.lock) {
            policy.place(
                state.placementRequest(requirements),
                state.fleetView(requirements, configuration.current),
                random,
            )
                .onSuccess { recordDispatch(it.endpoint, requirements, attempt) }
        }

    override fun recordRetry(endpoint: EndpointId, requirements: EngineRequirements, attempt: AttemptId) {
        synchronized(state.lock) { recordDispatch(endpoint, requirements, attempt) }
    }

    override fun started(endpoint: EndpointId, startCount: Long) {
        synchronized(state.lock) {
            // An engine start that no load report has shown yet counts as cold.
            val reportedCold = state.engine(endpoint).load?.let { it.cold || it.startCount < startCount } ?: true
            state.coldStartGuard.accept(
                ColdStartEvent.Seen(endpoint, startCount, reportedCold),
                state.clock.nowMillis(),
            )
        }
    }

    override fun firstToken(endpoint: EndpointId, attempt: AttemptId, timing: FirstTokenTiming) {
        val observedMillis = timing.observedMillis.toDouble()
        val event = ColdStartEvent.Answered(endpoint, observedMillis, timing.estimatedMillis)
        synchronized(state.lock) {
            state.loads.firstToken(attempt)
            state.observePrefill(endpoint, timing)
            state.engine(endpoint).observe(observedMillis, timing.estimatedMillis)
            state.coldStartGuard.accept(event, state.clock.nowMillis())
        }
    }

    override fun finished(attempt: AttemptId) {
        synchronized(state.lock) { state.loads.finished(attempt) }
    }

    override fun refusedAsCold(endpoint: EndpointId) {
        synchronized(state.lock) {
            state.coldStartGuard.accept(ColdStartEvent.RefusedAsCold(endpoint), state.clock.nowMillis())
        }
    }

    override fun suspect(endpoint: EndpointId) {
        synchronized(state.lock) {
            state.engine(endpoint).suspectUntilMillis = state.clock.nowMillis() + SUSPECT_MILLIS
        }
    }

    private fun recordDispatch(endpoint: EndpointId, requirements: EngineRequirements, attempt: AttemptId) {
        val prefillTokens = requirements.promptHashes.pieces.size.toLong() * PromptHashes.PIECE_TOKENS
        state.loads.dispatched(endpoint, attempt, prefillTokens, state.clock.nowMillis())
    }

    private companion object {
        const val SUSPECT_MILLIS = 2_000L
    }
}
