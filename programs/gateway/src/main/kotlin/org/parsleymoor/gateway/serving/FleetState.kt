package org.parsleymoor.gateway.serving

import org.parsleymoor.clients.EngineLoad
import org.parsleymoor.configuration.EndpointDeclaration
import org.parsleymoor.context.CacheDirectory
import org.parsleymoor.context.PromptHashes
import org.parsleymoor.core.Clock
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.RegionId
import org.parsleymoor.gateway.ServingView
import org.parsleymoor.limits.EndpointLoad
import org.parsleymoor.limits.LoadView
import org.parsleymoor.placement.EngineView
import org.parsleymoor.placement.FleetView
import org.parsleymoor.placement.PlacementRequest

/** What this gateway knows about the engines and stores. All access must hold [lock]. */
internal class FleetState(val clock: Clock, val region: RegionId, val coldStartGuard: ColdStartGuard) {
    val lock: Any = Any()
    val loads: LoadView = LoadView()
    val directory: CacheDirectory = CacheDirectory()
    val stores: StoreTable = StoreTable(clock)
    private val engines = HashMap<EndpointId, EngineState>()

    fun engine(endpoint: EndpointId): EngineState = engines.getOrPut(endpoint) { EngineState() }

    fun isSuspect(endpoint: EndpointId): Boolean = clock.nowMillis() < engine(endpoint).suspectUntilMillis

    fun load(endpoint: EndpointId): EndpointLoad =
        loads.load(endpoint, engine(endpoint).prefillRate.perSecond(clock.nowMillis()), clock.nowMillis())

    /** The number of requests that [endpoint] may run at once. */
    fun limit(endpoint: EndpointId, view: ServingView): Int {
        val limits = view.configuration.limits
        val warmLimit = limits.concurrentPerEngine
        return if (coldStartGuard.isCold(endpoint)) minOf(limits.coldLimit, warmLimit) else warmLimit
    }

    /** Updates the prefill rate from an attempt that ran alone; the time of concurrent ones does not show the rate. */
    fun observePrefill(endpoint: EndpointId, timing: FirstTokenTiming) {
        val engine = engine(endpoint)
        val alone = load(endpoint).ownRunning == 1 && engine.load?.let { it.running <= 1 } ?: false
        if (!alone || timing.prefillTokens < PromptHashes.PIECE_TOKENS) return
        engine.prefillRate.observe(timing.prefillTokens, timing.prefillMillis, clock.nowMillis())
    }

    fun placementRequest(requirements: EngineRequirements) = PlacementRequest(
        contextPieces = requirements.promptHashes.pieces.size,
        remainderTokens = requirements.promptHashes.remainderBytes / BYTES_PER_TOKEN,
        region = region,
        crossRegionTextBytes = requirements.promptHashes.textPieces.size.toLong() * PromptHashes.PIECE_BYTES,
        matches = directory.match(requirements.promptHashes.pieces),
    )

    fun fleetView(requirements: EngineRequirements, view: ServingView?): FleetView =
        if (view == null) {
            FleetView(emptyList())
        } else {
            FleetView(view.enginesOf(requirements.model).map { engineView(it, requirements, view) }, stores.views(view))
        }

    private fun engineView(
        engine: EndpointDeclaration,
        requirements: EngineRequirements,
        view: ServingView,
    ): EngineView {
        val load = load(engine.name)
        val state = engine(engine.name)
        val usable = view.takesNewWork(engine.name) && engine.name !in requirements.avoid && !isSuspect(engine.name)
        val hasCapacity = load.running < limit(engine.name, view) &&
            coldStartGuard.maySend(engine.name, load.running, clock.nowMillis())
        return EngineView(
            endpoint = engine.name,
            zone = engine.zone,
            region = view.regionOf(engine.zone) ?: region,
            acceptsWork = usable && hasCapacity && state.holds(requirements),
            running = load.running,
            queuedPrefillTokens = load.queuedPrefillTokens,
            prefillTokensPerSecond = state.prefillRate.perSecond(clock.nowMillis()),
            correction = state.correction,
        )
    }

    private companion object {
        const val BYTES_PER_TOKEN = PromptHashes.PIECE_BYTES / PromptHashes.PIECE_TOKENS
    }
}

/** What this gateway knows about one engine; [correction] is the smoothed ratio of observed to estimated time. */
internal class EngineState {
    var load: EngineLoad? = null
    var suspectUntilMillis: Long = 0
    var correction: Double = 1.0
        private set

    /** Prefill rate in tokens per second. */
    val prefillRate: RateEstimator = RateEstimator(INITIAL_PREFILL_TOKENS_PER_SECOND)

    /**
     * Whether the engine holds the required weight version. True without a load report: the engine then refuses the
     * request if it lacks the version.
     */
    fun holds(requirements: EngineRequirements): Boolean {
        val versions = load?.versions ?: return true
        return versions.any { it.model == requirements.model && it.version == requirements.version && !it.loading }
    }

    /** Updates [correction] with one observation. */
    fun observe(observedMillis: Double, estimatedMillis: Double) {
        if (estimatedMillis < MINIMUM_ESTIMATE_MILLIS) return
        val ratio = (correction * observedMillis / estimatedMillis).coerceIn(CORRECTION_RANGE)
        correction += SMOOTHING * (ratio - correction)
    }

    private companion object {
        const val MINIMUM_ESTIMATE_MILLIS = 1.0
        const val SMOOTHING = 0.1
        const val INITIAL_PREFILL_TOKENS_PER_SECOND = 20_000.0
        val CORRECTION_RANGE = 0.05..20.0
    }
}
