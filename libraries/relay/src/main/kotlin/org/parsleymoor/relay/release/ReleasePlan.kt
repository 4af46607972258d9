package org.parsleymoor.relay.release

/** What the lease holder knows of an order when it decides; [step] is the newest step of any holder. */
public data class ReleaseSituation(
    public val order: ReleaseOrder,
    public val elapsedMillis: Long,
    public val step: ReleaseStep?,
    public val stepMillis: Long,
    public val endpoints: ReleaseEndpoints,
    public val worse: String?,
    public val unproven: (Double) -> String?,
    public val fleet: FleetFlow,
)

/** Number of warm endpoints of the [target] release and of the [others] that get requests, with their slots. */
public data class ReleaseEndpoints(
    public val target: Int,
    public val others: Int,
    public val targetSlots: Int,
    public val otherSlots: Int,
)

/**
 * What the instances report of their requests: [unconfirmed] ones have not reported for long enough that they follow
 * the newest step, [silent] of them have not reported at all for a while, and [flow] sums up the others.
 */
public data class FleetFlow(
    public val unconfirmed: Int,
    public val silent: Int,
    public val flow: ReleaseFlow,
)

/** What the lease holder does for an order. */
public sealed interface ReleaseDecision {
    /** Nothing changes, because of [reason]. */
    public data class Hold(public val reason: String) : ReleaseDecision

    /** The target gets [share] of the requests in [stage]. */
    public data class Move(public val stage: ReleaseStage, public val share: Double) : ReleaseDecision

    /** The order ends with [state], because of [reason]. */
    public data class End(public val state: ReleaseState, public val reason: String) : ReleaseDecision
}

/**
 * Decides how far traffic moves to a new release. It stays within the exposure [limit] for as long as the order's time
 * allows, because a release may turn bad late, and moves only when the comparison shows on every route that the release
 * is as good as the others, also under full load of an endpoint. It is rolled back when it is worse, or when its time
 * is up before that is shown.
 */
public class ReleasePlan(private val limit: ExposureLimit) {
    /** Decides what to do in [situation]. */
    public fun decide(situation: ReleaseSituation): ReleaseDecision {
        val step = situation.step
        return when {
            situation.worse != null -> ReleaseDecision.End(ReleaseState.ROLLED_BACK, situation.worse)
            step == null -> ReleaseDecision.Move(ReleaseStage.TRIAL, limit.share)
            step.stage < ReleaseStage.SHIFT && situation.elapsedMillis >= lastShiftMillis(situation.order) ->
                ReleaseDecision.End(ReleaseState.ROLLED_BACK, "time is up: ${missing(situation) ?: "not moved yet"}")
            else -> when (step.stage) {
                ReleaseStage.TRIAL -> trial(situation)
                ReleaseStage.LOADED -> loaded(situation)
                ReleaseStage.SHIFT -> shift(situation, step)
                ReleaseStage.CLOSED -> closed(situation)
            }
        }
    }

    private fun trial(situation: ReleaseSituation): ReleaseDecision {
        val endpoints = situation.endpoints.target
        val dueMillis = shiftMillis(situation.order) / 2
        return when {
            endpoints == 0 -> ReleaseDecision.Hold("no warm endpoint of the new release")
            situation.elapsedMillis < dueMillis -> ReleaseDecision.Hold("observing under little load")
            else -> ReleaseDecision.Move(ReleaseStage.LOADED, maxOf(limit.share, 1.0 / endpoints))
        }
    }

    private fun loaded(situation: ReleaseSituation): ReleaseDecision {
        val isDue = situation.elapsedMillis >= shiftMillis(situation.order)
        val missing = missing(situation)
        return when {
            !isDue || situation.stepMillis < MIN_LOADED_MILLIS -> ReleaseDecision.Hold("observing under full load")
            missing != null -> ReleaseDecision.Hold(missing)
            else -> ReleaseDecision.Move(ReleaseStage.SHIFT, SHIFT_SHARES.first())
        }
    }

    /** Returns what the move of the traffic waits for, or null. */
    private fun missing(situation: ReleaseSituation): String? = when {
        situation.endpoints.target == 0 -> "no warm endpoint of the new release"
        situation.endpoints.targetSlots < situation.endpoints.otherSlots * MIN_CAPACITY_SHARE ->
            "the new release has ${situation.endpoints.target} endpoints, the others ${situation.endpoints.others}"
        else -> situation.unproven(provenRatio(situation))?.let { "not shown to be as good: $it" }
    }

    /** Near the last time at which the move may start, it is enough that more speaks for it than against it. */
    private fun provenRatio(situation: ReleaseSituation): Double {
        val lastChanceMillis = (shiftMillis(situation.order) + lastShiftMillis(situation.order)) / 2
        return if (situation.elapsedMillis < lastChanceMillis) PROVEN_RATIO else LAST_CHANCE_RATIO
    }

    private fun shift(situation: ReleaseSituation, step: ReleaseStep): ReleaseDecision {
        val next = SHIFT_SHARES.firstOrNull { it > step.share }
        val flow = situation.fleet.flow
        val isTaken = flow.sentToOthers <= (flow.sentToOthers + flow.sentToTarget) * MAX_LEFT_SHARE
        return when {
            situation.stepMillis < SHIFT_STEP_MILLIS -> ReleaseDecision.Hold("moving traffic")
            next != null -> ReleaseDecision.Move(ReleaseStage.SHIFT, next)
            isTaken -> ReleaseDecision.Move(ReleaseStage.CLOSED, 1.0)
            situation.elapsedMillis < situation.order.durationMillis -> ReleaseDecision.Hold(TOO_SMALL)
            else -> ReleaseDecision.End(ReleaseState.ROLLED_BACK, TOO_SMALL)
        }
    }

    /**
     * The other endpoints stop at once when the order is completed. Requests there that may be repeated are waited for
     * within the order's time, and those that must not run twice beyond it.
     */
    private fun closed(situation: ReleaseSituation): ReleaseDecision {
        val (unconfirmed, silent, flow) = situation.fleet
        val isLate = situation.elapsedMillis >= situation.order.durationMillis - END_MARGIN_MILLIS
        val open = if (isLate) flow.unrepeatable else flow.atOthers
        val awaited = if (isLate) unconfirmed - silent else unconfirmed
        return when {
            awaited > 0 -> ReleaseDecision.Hold("$awaited instances have not confirmed that traffic has moved")
            open > 0 -> ReleaseDecision.Hold("$open requests are still at the other releases")
            else -> ReleaseDecision.End(ReleaseState.COMPLETED, "as good as the others, and all traffic has moved")
        }
    }

    private companion object {
        // Odds of one to twenty that a release is bad whose answers are worse by the main excess of the comparison.
        const val PROVEN_RATIO = 0.05
        const val LAST_CHANCE_RATIO = 0.5

        // With less capacity than half of the other endpoints', a move would overload the new ones.
        const val MIN_CAPACITY_SHARE = 0.5

        // Long enough for answers under load to be reported.
        const val MIN_LOADED_MILLIS = 1_500L

        // The first shares show at little cost whether the endpoints take the traffic. A step lasts until its failures
        // are reported.
        val SHIFT_SHARES = listOf(0.25, 0.6, 1.0)
        const val SHIFT_STEP_MILLIS = 700L

        // Of the requests, at the full share, that the endpoints of the target did not take.
        const val MAX_LEFT_SHARE = 0.05
        const val TOO_SMALL = "the endpoints of the new release do not take all requests"

        // Time to write the end before the order's time is up.
        const val END_MARGIN_MILLIS = 800L

        // The moving steps, and two seconds in which requests at the other endpoints end and that is reported.
        const val MIN_MOVE_MILLIS = SHIFT_STEP_MILLIS * 3 + 2_000L
        const val USUAL_MOVE_MILLIS = 12_000L
        const val MOVE_SHARE = 0.5

        /** When the traffic of [order] starts to move if nothing speaks against it. */
        fun shiftMillis(order: ReleaseOrder): Long {
            val moveMillis = (order.durationMillis * MOVE_SHARE).toLong()
            return order.durationMillis - moveMillis.coerceIn(MIN_MOVE_MILLIS, USUAL_MOVE_MILLIS)
        }

        /** The latest time at which the move may start. */
        fun lastShiftMillis(order: ReleaseOrder): Long = order.durationMillis - MIN_MOVE_MILLIS / 2
    }
}
