package org.parsleymoor.explore

import org.parsleymoor.core.Incarnation
import org.parsleymoor.core.InstanceId

/**
 * An instance that runs one process at a time. Its clock has an offset and a rate of its own; while it is paused, what
 * would run waits; a restart drops everything that was under way for the old process.
 */
internal class Host(private val world: World, number: Int) {
    val name = InstanceId("gateway-$number")
    private var generation = 0L
    private var pausedUntilMillis = 0L
    private var offsetMillis = 0L
    private var rate = 1.0

    /** The process that runs here. */
    lateinit var incarnation: Incarnation
        private set

    /** The time on this instance's clock. */
    val clockMillis: Long get() = offsetMillis + (world.nowMillis * rate).toLong()

    /** Called with each process that starts. */
    var onStart: () -> Unit = {}

    fun start() {
        generation++
        pausedUntilMillis = 0
        rate = world.chance.factor(world.hazards.clockSpread)
        offsetMillis = BASE_MILLIS + world.chance.between(-SKEW_MILLIS, SKEW_MILLIS)
        incarnation = Incarnation(name, BASE_MILLIS + generation)
        world.note { "$incarnation starts" }
        onStart()
    }

    fun pause(millis: Long) {
        world.note { "$incarnation pauses for $millis ms" }
        pausedUntilMillis = maxOf(pausedUntilMillis, world.nowMillis + millis)
    }

    /** Ends a pause. What waits for its end runs within a second. */
    fun resume() {
        pausedUntilMillis = world.nowMillis
    }

    /** Returns [task] bound to the process that runs now: it waits while paused and is dropped after a restart. */
    fun bound(task: () -> Unit): () -> Unit {
        val bornIn = generation
        return { runIn(bornIn, task) }
    }

    /** Returns [task] bound to the process that runs now, to be called with what arrives for it. */
    fun <T> callback(task: (T) -> Unit): (T) -> Unit {
        val bornIn = generation
        return { arrived -> runIn(bornIn) { task(arrived) } }
    }

    /** Runs [task] in this process after [delayMillis]. */
    fun after(delayMillis: Long, task: () -> Unit) = world.scheduler.after(delayMillis, bound(task))

    /** Runs [task] in this process every [periodMillis]. */
    fun every(periodMillis: Long, task: () -> Unit) {
        after(periodMillis) {
            task()
            every(periodMillis, task)
        }
    }

    /** Pauses and restarts this instance at random from now on. */
    fun sufferHazards() {
        world.scheduler.after(SECOND_MILLIS) {
            if (world.chance.happens(world.hazards.pause)) pause(world.chance.between(1, LONGEST_PAUSE_MILLIS))
            if (world.chance.happens(world.hazards.restart)) start()
            sufferHazards()
        }
    }

    private fun runIn(bornIn: Long, task: () -> Unit) {
        val waitMillis = pausedUntilMillis - world.nowMillis
        when {
            bornIn != generation -> Unit
            waitMillis > 0 -> world.scheduler.after(minOf(waitMillis, SECOND_MILLIS)) { runIn(bornIn, task) }
            else -> task()
        }
    }

    private companion object {
        const val BASE_MILLIS = 1_000_000_000L
        const val SKEW_MILLIS = 600_000L
        const val SECOND_MILLIS = 1_000L
        const val LONGEST_PAUSE_MILLIS = 20_000L
    }
}
