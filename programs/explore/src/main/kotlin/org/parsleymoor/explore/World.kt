package org.parsleymoor.explore

/** What makes a history: its [seed], the fault that is seeded into it, and whether its events are kept. */
internal data class HistorySettings(
    val seed: Long,
    val fault: SeededFault? = null,
    val traced: Boolean = false,
)

/** One history: instances, a platform and a network under one scheduler, and the invariants that have to hold. */
internal abstract class World(val settings: HistorySettings) {
    val chance = Chance(settings.seed)
    val scheduler = Scheduler()
    val events = ArrayDeque<String>()

    /** The hazards in force; none while the history settles. */
    var hazards = Hazards.draw(chance)
        private set

    /** The first invariant that did not hold. */
    var violation: Violation? = null
        private set

    val nowMillis: Long get() = scheduler.nowMillis

    /** Checks the invariants; called after each step. */
    abstract fun check()

    /** How long the history goes on after its failures have ended. */
    open val settleMillis: Long get() = USUAL_SETTLE_MILLIS

    /** Checks what has to be true [settleMillis] after the failures have ended. */
    open fun checkSettled() {
        // Not every world has a state to come to rest in.
    }

    /** Ends all failures. */
    open fun calm() {
        hazards = Hazards.None
    }

    fun isFaulty(fault: SeededFault): Boolean = settings.fault == fault

    fun violate(invariant: String, expected: String, found: String) {
        if (violation == null) violation = Violation(invariant, expected, found, nowMillis)
    }

    /** Records an event for the report of a counterexample. */
    inline fun note(event: () -> String) {
        if (!settings.traced) return
        events += "$nowMillis ${event()}"
        if (events.size > KEPT_EVENTS) events.removeFirst()
    }

    /** Carries a message: loses, duplicates, delays (up to [lateMillis]) and reorders it. */
    fun carry(lateMillis: Long = LATE_MILLIS, deliver: () -> Unit) {
        if (!chance.happens(hazards.loss)) scheduler.after(delayMillis(lateMillis), deliver)
        if (chance.happens(hazards.duplication)) scheduler.after(delayMillis(lateMillis), deliver)
    }

    /** Carries a message at most once, as a request over a connection; calls [lost] when it does not arrive. */
    fun carryOnce(lateMillis: Long, lost: () -> Unit, deliver: () -> Unit) {
        if (chance.happens(hazards.loss)) lost() else scheduler.after(delayMillis(lateMillis), deliver)
    }

    private fun delayMillis(lateMillis: Long): Long =
        chance.between(1, if (chance.happens(hazards.lateness)) lateMillis else USUAL_MILLIS)

    companion object {
        const val KEPT_EVENTS = 60
        private const val USUAL_SETTLE_MILLIS = 60_000L
        private const val USUAL_MILLIS = 30L
        private const val LATE_MILLIS = 6_000L
    }
}
