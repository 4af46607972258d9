package org.parsleymoor.bench

import org.parsleymoor.context.PieceHash
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.RegionId
import org.parsleymoor.core.ZoneId
import org.parsleymoor.placement.PrefixSource

/** An engine that imports blocks while it prefills others, and prefills one request after another. */
internal class SimulatedEngine(
    val endpoint: EndpointId,
    val zone: ZoneId,
    val region: RegionId,
    private val figures: EngineFigures,
    private val events: EventQueue,
    private val measures: Measures,
) {
    private val waiting = ArrayDeque<Attempt>()
    private val arriving = HashMap<PieceHash, Double>()
    private var busy = false
    private var computingTokens = 0L
    private var coldAnswers = 0
    private var coldUntilMillis = Double.NEGATIVE_INFINITY
    val cache = BlockCache(figures.cachePieces)
    var startCount: Long = 1
        private set
    var running: Int = 0
        private set
    var outSinceMillis: Double? = null
    var onChange: () -> Unit = {}
    var onComputed: (Attempt) -> Unit = {}

    val isCold: Boolean get() = coldAnswers > 0 || events.nowMillis < coldUntilMillis

    fun queuedTokens(): Long = computingTokens + waiting.sumOf { tokens(it) }

    /** Takes in [attempt]; the blocks that [stores] hold of its import arrive before its prefill. */
    fun submit(attempt: Attempt, stores: List<SimulatedStore>) {
        running++
        measures.submitted(this, events.nowMillis)
        val import = attempt.placement.prefix as? PrefixSource.Import
        val store = stores.firstOrNull { it.endpoint.value == import?.store?.value }
        if (import != null && store != null) import(store, import.blocks.map { it.piece })
        val readyMillis = attempt.request.pieces.mapNotNull { arriving[it] }.maxOrNull()
        if (readyMillis == null) enqueue(attempt) else events.at(readyMillis) { enqueue(attempt) }
        onChange()
    }

    /** Starts again with an empty cache and stays cold for [answers] answers and [millis]. */
    fun restart(answers: Int, millis: Double) {
        startCount++
        cache.clear()
        cache.log.restart()
        coldAnswers = answers
        coldUntilMillis = events.nowMillis + millis
        outSinceMillis = null
        onChange()
    }

    fun heldPrefix(pieces: List<PieceHash>): Int {
        val missing = pieces.indexOfFirst { it !in cache }
        return if (missing < 0) pieces.size else missing
    }

    /** A block that is already on its way is not sent twice; every request that names it waits for it. */
    private fun import(store: SimulatedStore, wanted: List<PieceHash>) {
        val pieces = wanted.filter { it !in cache && it !in arriving }
        val (count, arrivalMillis) = store.send(pieces)
        val sent = pieces.take(count)
        sent.forEach { arriving[it] = arrivalMillis }
        events.at(arrivalMillis) {
            sent.forEach {
                arriving -= it
                cache.add(it)
            }
        }
    }

    private fun enqueue(attempt: Attempt) {
        waiting += attempt
        if (!busy) startNext()
    }

    private fun startNext() {
        val attempt = waiting.removeFirstOrNull()
        busy = attempt != null
        computingTokens = 0
        if (attempt == null) return
        computingTokens = tokens(attempt)
        measures.computed(attempt.request, heldPrefix(attempt.request.pieces))
        val slowdown = if (isCold) figures.coldFactor else 1.0
        val millis = computingTokens * slowdown * MILLIS_PER_SECOND / figures.prefillTokensPerSecond
        events.after(millis) { computed(attempt) }
    }

    private fun computed(attempt: Attempt) {
        // The last piece is touched first, so that of one context the end is evicted before the beginning.
        attempt.request.pieces.asReversed().forEach { cache.add(it) }
        if (coldAnswers > 0) coldAnswers--
        attempt.onFirstToken(attempt)
        onComputed(attempt)
        events.after(attempt.request.outputTokens * figures.millisPerToken) { finished(attempt) }
        startNext()
        onChange()
    }

    private fun finished(attempt: Attempt) {
        running--
        attempt.onFinished(attempt)
        onChange()
    }

    private fun tokens(attempt: Attempt): Long {
        val pieces = attempt.request.pieces
        return (pieces.size - heldPrefix(pieces)).toLong() * PIECE_TOKENS + attempt.request.remainderTokens
    }
}
