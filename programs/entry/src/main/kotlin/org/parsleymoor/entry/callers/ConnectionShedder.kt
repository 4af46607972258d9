package org.parsleymoor.entry.callers

import org.parsleymoor.relay.limits.ConnectionShedding
import org.parsleymoor.relay.limits.ConnectionStage

/** Closes [connections] when they take more than the limits of [context], so that others find room. */
internal class ConnectionShedder(private val context: CallerContext, private val connections: Set<CallerConnection>) {
    private val limits = context.load.limits
    private val shedding = ConnectionShedding(limits)
    private var searchedMillis: Long? = null

    /** Closes connections if there are as many as the limit allows; returns false if another one must not be opened. */
    fun makeRoomForOne(): Boolean {
        val open = if (connections.size < limits.connections) emptyList() else connections.filterNot { it.wasShed }
        if (open.size < limits.connections) return true
        val chosen = shedding.forConnections(open.map { it.use })
        shed(chosen)
        return chosen.isNotEmpty()
    }

    /** Closes connections if so many bytes are held after [connection] received some that no part is left to others. */
    fun received(connection: CallerConnection) {
        if (connection.input.overflowed && connection.use.stage == ConnectionStage.HANDLING) {
            connection.shed(CloseReason.NO_ROOM)
        }
        val excessBytes = context.load.held.excessBytes
        if (excessBytes <= 0) return
        val nowMillis = context.clock.nowMillis()
        if (nowMillis - (searchedMillis ?: Long.MIN_VALUE / 2) < SEARCH_INTERVAL_MILLIS) return
        searchedMillis = nowMillis
        val open = connections.filterNot { it.wasShed }
        shed(shedding.forBytes(open.map { it.use }, excessBytes, nowMillis))
    }

    private fun shed(chosen: List<CallerConnection>) {
        if (chosen.isEmpty()) return
        context.events.onShed(chosen.size, connections.size)
        chosen.forEach { it.shed(CloseReason.SHED) }
    }

    private companion object {
        // A search looks at all connections.
        const val SEARCH_INTERVAL_MILLIS = 100L
    }
}
