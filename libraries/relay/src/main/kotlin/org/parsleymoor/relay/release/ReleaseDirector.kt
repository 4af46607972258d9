package org.parsleymoor.relay.release

import org.parsleymoor.core.InstanceId
import org.parsleymoor.relay.fleet.EndpointState
import org.parsleymoor.relay.fleet.EndpointTable

/** What the lease holder has to do. */
public sealed interface ReleaseAction {
    /** Announce [step] to all instances. */
    public data class Announce(public val step: ReleaseStep) : ReleaseAction

    /** Write [status] for [order] if its object still has [revision]; [reason] is for operators. */
    public data class Write(
        public val order: ReleaseOrder,
        public val status: ReleaseStatus,
        public val revision: Long,
        public val reason: String,
    ) : ReleaseAction
}

/**
 * Moves the traffic for the orders in [table] while this instance, [self], holds the lease. Steps are repeated, so that
 * instances know that there is a holder. A new holder first hears what the one before has decided, and goes on there.
 * Not thread-safe.
 */
public class ReleaseDirector(
    private val self: InstanceId,
    private val table: ReleaseTable,
) {
    private val plan = ReleasePlan(requireNotNull(table.limit) { "expected a table with an exposure limit" })
    private val announcedMillis = HashMap<ReleaseOrder, Long>()
    private var acquiredToken: Long? = null
    private var heldSinceMillis = 0L
    private var sequence = 0L

    /** What the last decision for each open order was, for operators. */
    public var decisions: Map<ReleaseOrder, ReleaseDecision> = emptyMap()
        private set

    /** Records that this instance does not hold the lease. */
    public fun leaseEnded() {
        acquiredToken = null
    }

    /** Decides with the lease, whose [token] rises with each renewal; [endpoints] are those of all services. */
    public fun direct(token: Long, endpoints: EndpointTable, nowMillis: Long): List<ReleaseAction> {
        if (acquiredToken == null) {
            acquiredToken = token
            heldSinceMillis = nowMillis
        }
        val open = table.open
        announcedMillis.keys.retainAll(open.mapNotNull { it.progress?.order }.toSet())
        decisions = decisions.filterKeys { it in announcedMillis }
        if (nowMillis - heldSinceMillis < NEWS_MILLIS) return emptyList()
        return open.flatMap { service ->
            val progress = service.progress
            if (progress == null) emptyList() else direct(token, service, progress, endpoints, nowMillis)
        }
    }

    private fun direct(
        token: Long,
        service: ServiceRelease,
        progress: ReleaseProgress,
        endpoints: EndpointTable,
        nowMillis: Long,
    ): List<ReleaseAction> {
        val decision = progress.end?.let { ReleaseDecision.End(it.state, it.reason) }
            ?: plan.decide(situation(progress, endpoints, nowMillis))
        decisions += progress.order to decision
        val write = { state: ReleaseState, reason: String ->
            ReleaseAction.Write(progress.order, ReleaseStatus(state, progress.order.target), service.revision, reason)
        }
        val accepted = listOf(write(ReleaseState.ACTIVE, "accepted")).filter { service.stored?.state == null }
        return when (decision) {
            is ReleaseDecision.Hold -> accepted + announcement(progress, token, nowMillis)
            is ReleaseDecision.Move -> {
                val step = ReleaseStep(progress.order, token, ++sequence, decision.stage, decision.share)
                accepted + announce(progress, step, nowMillis)
            }
            is ReleaseDecision.End -> {
                // That an order is completed holds once it is stored: until then the other endpoints do not stop.
                if (decision.state == ReleaseState.ROLLED_BACK) {
                    table.end(progress, ReleaseEnd(decision.state, decision.reason), nowMillis)
                }
                listOf(write(decision.state, decision.reason)) + announcement(progress, token, nowMillis)
            }
        }
    }

    /** Repeats the step in force when it is due; that of a former holder is repeated as this one's. */
    private fun announcement(progress: ReleaseProgress, token: Long, nowMillis: Long): List<ReleaseAction> {
        val step = progress.step ?: return emptyList()
        val dueMillis = (announcedMillis[progress.order] ?: Long.MIN_VALUE / 2) + REPEAT_MILLIS
        return when {
            step.token < (acquiredToken ?: token) -> announce(
                progress,
                step.copy(token = token, sequence = ++sequence),
                nowMillis
            )
            nowMillis >= dueMillis -> announce(progress, step, nowMillis)
            else -> emptyList()
        }
    }

    private fun announce(progress: ReleaseProgress, step: ReleaseStep, nowMillis: Long): List<ReleaseAction> {
        progress.learn(step, isFromHolder = true, nowMillis)
        announcedMillis[progress.order] = nowMillis
        return listOf(ReleaseAction.Announce(step))
    }

    private fun situation(progress: ReleaseProgress, endpoints: EndpointTable, nowMillis: Long) = ReleaseSituation(
        order = progress.order,
        elapsedMillis = nowMillis - progress.orderMillis,
        step = progress.step,
        stepMillis = nowMillis - progress.stepMillis,
        endpoints = count(endpoints.serving(progress.order.service).filterNot { it.isCold(nowMillis) }, progress.order),
        worse = progress.worse(),
        unproven = progress.evidence::unproven,
        fleet = fleet(progress, nowMillis),
    )

    private fun count(warm: List<EndpointState>, order: ReleaseOrder): ReleaseEndpoints {
        val (target, others) = warm.partition { it.entry.release == order.target }
        return ReleaseEndpoints(
            target = target.size,
            others = others.size,
            targetSlots = target.sumOf { it.entry.slots },
            otherSlots = others.sumOf { it.entry.slots },
        )
    }

    private fun fleet(progress: ReleaseProgress, nowMillis: Long): FleetFlow {
        val reports = progress.evidence.recent(nowMillis, REPORT_LIFE_MILLIS)
        val members = table.members.orEmpty() + self
        val step = progress.step
        val confirmed = reports.filterValues { report ->
            val applied = report.applied
            applied != null && step != null && applied.reaches(step) && report.appliedMillis >= SETTLED_MILLIS
        }.keys
        return FleetFlow(
            unconfirmed = (members - confirmed).size,
            silent = (members - reports.keys).size,
            flow = reports.values.map { it.flow }.fold(ReleaseFlow(), ReleaseFlow::plus),
        )
    }

    private companion object {
        // Reports of all instances arrive within this time.
        const val NEWS_MILLIS = 1_200L
        const val REPEAT_MILLIS = 500L

        // Two reports, of which one may be late.
        const val REPORT_LIFE_MILLIS = 2_500L

        // A request that was placed before the step may still be waiting for its connection.
        const val SETTLED_MILLIS = 800L
    }
}
