package org.parsleymoor.explore

import java.util.PriorityQueue

/** Runs tasks in order of virtual time. */
internal class Scheduler {
    private val queue = PriorityQueue<Task>()
    private var count = 0L

    /** Virtual time in milliseconds. */
    var nowMillis = 0L
        private set

    /** Runs [action] after [delayMillis]. */
    fun after(delayMillis: Long, action: () -> Unit) {
        queue += Task(nowMillis + delayMillis, count++, action)
    }

    /** Runs the next task; returns false when there is none. */
    fun step(): Boolean {
        val task = queue.poll() ?: return false
        nowMillis = task.atMillis
        task.action()
        return true
    }

    private class Task(val atMillis: Long, val number: Long, val action: () -> Unit) : Comparable<Task> {
        override fun compareTo(other: Task): Int {
            val byTime = atMillis.compareTo(other.atMillis)
            return if (byTime != 0) byTime else number.compareTo(other.number)
        }
    }
}
