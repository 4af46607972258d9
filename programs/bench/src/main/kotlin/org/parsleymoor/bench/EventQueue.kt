package org.parsleymoor.bench

import java.util.PriorityQueue

/** The virtual clock: runs actions in order of time, and in order of scheduling at equal times. */
internal class EventQueue {
    private val events = PriorityQueue<Event>(compareBy<Event> { it.timeMillis }.thenBy { it.number })
    private var scheduled = 0L

    var nowMillis: Double = 0.0
        private set

    /** The time as decision libraries take it. */
    val now: Long get() = nowMillis.toLong()

    fun at(timeMillis: Double, action: () -> Unit) {
        events += Event(maxOf(timeMillis, nowMillis), scheduled++, action)
    }

    fun after(delayMillis: Double, action: () -> Unit): Unit = at(nowMillis + delayMillis, action)

    fun run() {
        while (true) {
            val event = events.poll() ?: return
            nowMillis = event.timeMillis
            event.action()
        }
    }

    private class Event(val timeMillis: Double, val number: Long, val action: () -> Unit)
}
