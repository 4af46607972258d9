package org.parsleymoor.coordination

/** What the lease holder knows of one engine since it took the lease at [takenMillis]. */
internal class EngineProgress<C : Any>(
    private val settings: OrderSettings,
    private val takenMillis: Long,
    fencing: Fencing,
) {
    val read = EngineStateReads<C>()
    private var orderId = ""
    private var outstanding = false
    private var unsettled = false
    private var answeredMillis = Long.MIN_VALUE
    private var deliveredMillis = Long.MIN_VALUE
    private var fenced = fencing == Fencing.IGNORED

    val state: EngineState<C>? get() = read.state

    fun acceptRead(id: Long, found: EngineState<C>?) {
        val latest = read.accept(id, found) && found != null
        if (latest && !outstanding && read.sentMillis >= answeredMillis) unsettled = false
    }

    fun startOrder(id: String) {
        orderId = id
        outstanding = true
        unsettled = true
    }

    /** A lost order may arrive until the longest delivery time is over, and so may a copy of one that was answered. */
    fun acceptAnswer(nowMillis: Long, id: String, outcome: OrderOutcome) {
        if (id != orderId || !outstanding) return
        outstanding = false
        deliveredMillis = nowMillis + settings.deliveryTimeoutMillis
        answeredMillis = if (outcome == OrderOutcome.LOST) deliveredMillis else nowMillis
        if (outcome == OrderOutcome.ACCEPTED) fenced = true
    }

    fun readDue(nowMillis: Long, desired: C?): Boolean =
        read.due(nowMillis, settings, busy = unsettled || !reached(desired))

    /** Returns whether an order that confirms the state is needed, after which the engine refuses older holders. */
    fun confirmationDue(nowMillis: Long): Boolean =
        !fenced && state != null && !outstanding && nowMillis >= deliveredMillis

    /** Returns whether the engine may be loading now or begin to because of an order that is under way. */
    fun mayLoad(nowMillis: Long, desired: C?): Boolean {
        val known = state
        val recent = nowMillis - maxOf(takenMillis, answeredMillis) < settings.loadMillis
        return when {
            outstanding -> true
            // An engine that is no longer a target is not read any more.
            desired == null -> nowMillis - maxOf(takenMillis, answeredMillis, read.sentMillis) < settings.loadMillis
            known == null -> recent
            known.loading != null || unsettled -> true
            else -> (!fenced && recent) || (!reached(desired) && nowMillis < deliveredMillis)
        }
    }

    /** Returns whether an order for [desired] is needed and cannot be overtaken by an earlier one. */
    fun orderDue(nowMillis: Long, desired: C?): Boolean =
        fenced && state != null && !reached(desired) && !mayLoad(nowMillis, desired)

    fun reached(desired: C?): Boolean = state?.content == desired && state?.loading == null
}

/** The reads of one engine's state; only the answer to the latest read counts. */
internal class EngineStateReads<C : Any> {
    /** The state that the last read found; null before the first and when the engine could not be read. */
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
