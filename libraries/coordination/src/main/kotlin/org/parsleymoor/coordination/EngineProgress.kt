package org.parsleymoor.coordination

import org.parsleymoor.core.WeightVersion

/** What the lease holder knows of one engine of a rollout since it took the lease at [takenMillis]. */
internal class EngineProgress(
    private val settings: OrderSettings,
    private val takenMillis: Long,
    fencing: Fencing,
) {
    val read = StateRead()
    private var orderId = ""
    private var orderSentMillis: Long? = null
    private var unsettled = false
    private var fenced = fencing == Fencing.IGNORED

    val state: EngineState? get() = read.state

    fun acceptRead(id: Long, found: EngineState?) {
        if (read.accept(id, found) && found != null && read.sentMillis > lastOrderMillis()) unsettled = false
    }

    fun startOrder(nowMillis: Long, id: String) {
        orderId = id
        orderSentMillis = nowMillis
        unsettled = true
    }

    /** A refused order leaves nothing behind; any other outcome is settled by the next read. */
    fun acceptAnswer(id: String, outcome: OrderOutcome) {
        if (id != orderId) return
        if (outcome == OrderOutcome.ACCEPTED) fenced = true
        if (outcome == OrderOutcome.REFUSED) unsettled = false
    }

    fun readDue(nowMillis: Long, desired: WeightVersion?): Boolean {
        val busy = unsettled || !reached(desired)
        return read.due(nowMillis, settings, busy)
    }

    /** Returns whether an order that confirms the state is needed, after which the engine refuses older holders. */
    fun confirmationDue(nowMillis: Long): Boolean =
        !fenced && state != null && (!unsettled || orderDelivered(nowMillis))

    /** Returns whether the engine may be loading now or begin to because of an order that is under way. */
    fun mayLoad(nowMillis: Long, desired: WeightVersion?): Boolean {
        val known = state
        return when {
            known == null || !fenced -> nowMillis - maxOf(takenMillis, lastOrderMillis()) < settings.loadMillis
            known.loading != null || unsettled -> true
            else -> !reached(desired) && !orderDelivered(nowMillis)
        }
    }

    /** Returns whether an order for [desired] is needed and cannot be overtaken by an earlier one. */
    fun orderDue(nowMillis: Long, desired: WeightVersion?): Boolean =
        fenced && state != null && !reached(desired) && !mayLoad(nowMillis, desired)

    fun reached(desired: WeightVersion?): Boolean = state?.version == desired && state?.loading == null

    private fun lastOrderMillis(): Long = orderSentMillis ?: Long.MIN_VALUE

    private fun orderDelivered(nowMillis: Long): Boolean =
        orderSentMillis?.let { nowMillis - it >= settings.longestDeliveryMillis } ?: true
}

/** The reads of one engine's state; only the answer to the latest read counts. */
internal class StateRead {
    /** The state that the last read found; null before the first and when the engine could not be read. */
    var state: EngineState? = null
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

    fun accept(readId: Long, found: EngineState?): Boolean {
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
