package org.parsleymoor.standins

import org.parsleymoor.clients.EngineLoad
import org.parsleymoor.core.Clock

/** What an engine holds and does. Only the engine's event loop uses it. */
internal class EngineState(val settings: EngineSettings, val clock: Clock) {
    val feed = CacheEventFeed(settings.eventLagMillis, settings.eventHistory)
    val cache = PrefixCache(settings.cacheBytes, settings.bytesPerPiece, feed)
    val orders = OrderBook(settings.models, settings.fencing)
    val cold = ColdStart(settings.coldAnswers, settings.coldMillis)
    val slots = PriorityGate(settings.concurrent)
    val prefill = PriorityGate(1)
    val reports = LoadReports(settings.loadLagMillis)
    var faults = EngineFaults()
    var queuedPrefillPieces = 0

    /** While the engine restarts after falling over, it closes every connection. */
    var downUntilMillis = 0L
        private set

    var startCount: Long = settings.startCount
        private set

    val isDown: Boolean get() = clock.nowMillis() < downUntilMillis

    val isCold: Boolean get() = cold.isCold(clock.nowMillis())

    /** Requests that the engine runs or has queued. */
    val requests: Int get() = slots.held + slots.queued

    init {
        if (settings.startsCold) cold.enter(clock.nowMillis())
        takeReport()
    }

    /** Starts again after [downMillis]: a higher start count, an empty cache and a cold limit. */
    fun restart(downMillis: Long) {
        startCount += 1
        downUntilMillis = clock.nowMillis() + downMillis
        cold.enter(downUntilMillis)
        cache.clear()
        feed.reset()
    }

    fun takeReport() {
        reports.add(report())
    }

    fun report() = EngineLoad(
        endpoint = settings.endpoint,
        startCount = startCount,
        cold = isCold,
        running = slots.held,
        queued = slots.queued,
        queuedPrefillTokens = queuedPrefillPieces * TOKENS_PER_PIECE,
        cachedBytes = cache.usedBytes,
        cacheCapacityBytes = settings.cacheBytes,
        versions = orders.versions,
        role = orders.role,
        reportedAtMillis = clock.nowMillis(),
    )

    private companion object {
        const val TOKENS_PER_PIECE = 2_000L
    }
}
