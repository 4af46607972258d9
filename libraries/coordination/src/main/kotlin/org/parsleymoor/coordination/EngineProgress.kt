package org.parsleymoor.coordination

/** What the lease holder knows about one engine since its lease took effect at [sinceMillis]. */
internal class EngineProgress<C : Any>(
    private val settings: OrderSettings,
    private val sinceMillis: Long,
    fencing: Fencing,
) {
    val reads = EngineStateReads<C>()
    private var orderId = ""
    private var awaitingAnswer = false
    private var unverified = false
    private var answeredMillis = Long.MIN_VALUE
    private var deliveredByMillis = Long.MIN_VALUE
    private var fenced = fencing == Fencing.IGNORED

    val state: EngineState<C>? get() = reads.state

    fun acceptRead(id: Long, found: EngineState<C>?) {
        val latest = reads.accept(id, found) && found != null
        if (latest && !awaitingAnswer && reads.sentMillis >= answeredMillis) unverified = false
    }

    fun startOrder(id: String) {
        orderId = id
        awaitingAnswer = true
        unverified = true
    }

    /** A lost order, or a copy of an answered one, may still arrive until the delivery timeout is over. */
    fun acceptAnswer(nowMillis: Long, id: String, outcome: OrderOutcome) {
        if (id != orderId || !awaitingAnswer) return
        awaitingAnswer = false
        deliveredByMillis = nowMillis + settings.deliveryTimeoutMillis
        answeredMillis = if (outcome == OrderOutcome.LOST) deliveredByMillis else nowMillis
        if (outcome == OrderOutcome.ACCEPTED) fenced = true
    }

    fun readDue(nowMillis: Long, wanted: C?): Boolean =
        reads.due(nowMillis, settings, busy = unverified || !reached(wanted))

    /** Returns whether an order has to confirm the state, so that the engine rejects orders of earlier holders. */
    fun confirmationDue(nowMillis: Long): Boolean =
        !fenced && state != null && !awaitingAnswer && nowMillis >= deliveredByMillis

    /** Returns whether the engine may be loading, or may start to load because of an order that is still in transit. */
    fun mayLoad(nowMillis: Long, wanted: C?): Boolean {
        val known = state
        val recent = nowMillis - maxOf(sinceMillis, answeredMillis) < settings.loadMillis
        return when {
            awaitingAnswer -> true
            // An engine that is no longer a target is not read any more.
            wanted == null -> nowMillis - maxOf(sinceMillis, answeredMillis, reads.sentMillis) < settings.loadMillis
            known == null -> recent
            known.loading != null || unverified -> true
            else -> (!fenced && recent) || (!reached(wanted) && nowMillis < deliveredByMillis)
        }
    }

    /** Returns whether an order for [wanted] is needed and no earlier order can arrive after it. */
    fun orderDue(nowMillis: Long, wanted: C?): Boolean =
        fenced && state != null && !reached(wanted) && !mayLoad(nowMillis, wanted)

    fun reached(wanted: C?): Boolean = state?.content == wanted && state?.loading == null
}

/** The reads of one engine's state; only the response to the latest read counts. */
internal class EngineStateReads<C : Any> {
    /** The state that the last read returned; null before the first read and if the engine could not be read. */
    var state: EngineState<C>? = null
        private set
    var sentMillis = Long.MIN_VALUE
        private set
    private var id = -1L
    private var pending = false

    fun start(nowMillis: Long, readId: Long) {
        id = readId
        sentMillis = nowMillis
        pending = true
    }

    fun accept(readId: Long, found: EngineState<C>?): Boolean {
        val latest = pending && readId == id
        if (latest) {
            pending = false
            state = found
        }
        return latest
    }

    fun due(nowMillis: Long, settings: OrderSettings, busy: Boolean): Boolean {
        val periodMillis = if (busy || state == null) settings.pollMillis else settings.refreshMillis
        val waitMillis = if (pending) settings.responseMillis else periodMillis
        return sentMillis == Long.MIN_VALUE || nowMillis - sentMillis >= waitMillis
    }
}
