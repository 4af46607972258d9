package org.parsleymoor.explore

import org.parsleymoor.core.EndpointId

/** An endpoint that is cold for some time after each start and runs requests for a while. */
internal class ColdEndpointModel(private val world: World, number: Int) {
    val name = EndpointId("engine-$number")

    /** Counts the starts of the endpoint. */
    var startCount = 1L
        private set
    private var startedMillis = world.nowMillis
    private val running = ArrayList<RunningRequest>()

    /** Whether the endpoint reports itself cold. */
    val cold: Boolean get() = world.nowMillis - startedMillis < COLD_MILLIS

    val runningCount: Int get() = running.size

    /** Requests here whose sender knew that this start of the endpoint is cold. */
    val limitedCount: Int get() = running.count { it.limited }

    /** Takes a request; [knownStart] is the start count that its sender acted on. */
    fun dispatch(knownStart: Long, senderLimits: Boolean, onEnd: (answered: Boolean) -> Unit) {
        val request = RunningRequest(senderLimits && knownStart == startCount, onEnd)
        world.note { "$name gets a request at start $startCount, sender knew start $knownStart, limited $senderLimits" }
        running += request
        world.scheduler.after(world.chance.between(SHORTEST_RUN_MILLIS, LONGEST_RUN_MILLIS)) { end(request) }
    }

    fun restart() {
        startCount++
        startedMillis = world.nowMillis
        world.note { "$name restarts for the ${startCount}th time" }
        val lost = running.toList()
        running.clear()
        lost.forEach { it.onEnd(false) }
    }

    private fun end(request: RunningRequest) {
        if (running.remove(request)) request.onEnd(true)
    }

    private class RunningRequest(val limited: Boolean, val onEnd: (Boolean) -> Unit)

    private companion object {
        const val COLD_MILLIS = 60_000L
        const val SHORTEST_RUN_MILLIS = 100L
        const val LONGEST_RUN_MILLIS = 15_000L
    }
}
