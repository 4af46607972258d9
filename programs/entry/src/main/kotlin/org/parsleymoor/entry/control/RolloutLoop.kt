package org.parsleymoor.entry.control

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.json.put
import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.rendezvousOrder
import org.parsleymoor.entry.protocol.EngineReport
import org.parsleymoor.entry.protocol.WeightOrder
import org.parsleymoor.relay.exchange.PeerUpdate
import org.parsleymoor.relay.fleet.EndpointState
import org.parsleymoor.relay.fleet.isPaused
import org.parsleymoor.relay.http.HttpStatus
import org.parsleymoor.relay.placement.TargetWeights
import org.parsleymoor.relay.rollout.RolloutPlan

/**
 * Orders engines to load the weights that operators have set, while this instance holds the order lease. The lease is
 * also held while there are [otherOrders].
 */
internal class RolloutLoop(
    private val context: ControlContext,
    private val lease: OrderLease,
    private val peers: Peers,
    private val otherOrders: () -> Boolean = { false },
) {
    private val deployment = context.deployment
    private val client = context.client
    private val engines = context.engines
    private val scope = context.scope
    private val log = context.log
    private val clock = context.clock
    private val plan = RolloutPlan(takeoverMillis = lease.holdAfterOrderMillis)
    private var wantedSinceMillis: Long? = null
    private var rankedMembers: Set<InstanceId> = emptySet()
    private var claimDelayMillis = 0L

    /** Runs rollouts until the coroutine is cancelled. */
    suspend fun run() {
        while (true) {
            step()
            context.ticks.await()
        }
    }

    private fun step() {
        val nowMillis = clock.nowMillis()
        val outdated = plan.outdatedEngines(deployment.endpoints, deployment.weights)
        val others = otherOrders()
        wantedSinceMillis = if (outdated.isEmpty() && !others) null else wantedSinceMillis ?: nowMillis
        val othersIdleMillis = deployment.lastPeerOrderMillis?.let { it + OTHERS_IDLE_MILLIS } ?: Long.MIN_VALUE
        val wanted = wantedSinceMillis?.let { nowMillis - maxOf(it, othersIdleMillis) >= claimDelayMillis() } ?: false
        lease.tick(wanted || lease.held() != null && (plan.isRecentlyActive(nowMillis) || others))
        if (lease.held() == null) return
        plan.enginesToLoad(deployment.endpoints, deployment.weights, nowMillis).forEach { (state, named) ->
            plan.loadStarted(state.entry.id, nowMillis)
            scope.launch { rollOut(state, named) }
        }
    }

    /**
     * Returns how long this instance waits before it contends for the lease. Instances contend one after the other, and
     * only while no other announces orders, because each contender reads the lease several times a second.
     */
    private fun claimDelayMillis(): Long {
        val members = deployment.knownInstances.ids ?: return UNKNOWN_CLAIM_MILLIS
        if (members != rankedMembers) {
            rankedMembers = members
            claimDelayMillis =
                rendezvousOrder("orders", members) { it.value }.indexOf(deployment.self) * CLAIM_STEP_MILLIS
        }
        return claimDelayMillis
    }

    private suspend fun rollOut(state: EndpointState, named: TargetWeights) {
        peers.announceOrders(state, active = true)
        var loaded = false
        try {
            loaded = load(state, named)
        } finally {
            peers.announceOrders(state, active = false)
            plan.loadEnded(state.entry.id, loaded, clock.nowMillis())
        }
    }

    /**
     * Repeats orders until the weights are loaded, the engine does not respond, orders are no longer allowed, or
     * the time is up. Returns whether the weights are loaded.
     */
    private suspend fun load(state: EndpointState, named: TargetWeights): Boolean {
        val untilMillis = clock.nowMillis() + LOAD_TIMEOUT_MILLIS
        var step = LoadStep.UNDER_WAY
        while (step == LoadStep.UNDER_WAY && clock.nowMillis() < untilMillis) {
            step = if (wantsNothing(state)) LoadStep.GIVEN_UP else loadStep(state, named)
            if (step == LoadStep.UNDER_WAY) delay(POLL_INTERVAL_MILLIS)
        }
        return step == LoadStep.LOADED
    }

    private fun wantsNothing(state: EndpointState): Boolean =
        deployment.endpoints.isLeaving(state.incarnation) ||
            deployment.endpoints.isPaused(state.incarnation, clock.nowMillis())

    private suspend fun loadStep(state: EndpointState, named: TargetWeights): LoadStep {
        val report = report(state)
        report?.weights?.forEach { (model, version) -> state.learnWeights(model, version) }
        state.engineLoad?.let { peers.publish(PeerUpdate.Load(state.entry.id, it, state.allWeights)) }
        return when {
            report == null -> LoadStep.GIVEN_UP
            (report.weights[named.model] ?: 0) >= named.version -> LoadStep.LOADED
            report.busy || order(state, named, report) -> LoadStep.UNDER_WAY
            else -> LoadStep.GIVEN_UP
        }
    }

    /** Sends one order; returns false when no more orders may be given to this engine. */
    private suspend fun order(state: EndpointState, named: TargetWeights, report: EngineReport): Boolean {
        val held = lease.held() ?: return false
        val order = WeightOrder(
            model = named.model,
            version = named.version,
            holder = deployment.self.value,
            fencingToken = held.fencingToken,
            afterOrders = report.orders,
        )
        plan.orderSent(clock.nowMillis())
        val call = engines.order(state.entry.id.value, order)
        val result = client.call(state.entry.address, call, ORDER_TIMEOUT_MILLIS)
        val status = result.get()?.status
        log.write("order.sent", always = true) {
            put("endpoint", state.entry.id.value)
            put("version", named.version)
            put("token", held.fencingToken)
            put("afterOrders", report.orders)
            put("status", status)
            result.getError()?.let { put("reason", it.message) }
        }
        val fenced = status == HttpStatus.PRECONDITION_FAILED.code
        if (fenced) lease.markFenced(held.fencingToken)
        if (status == HttpStatus.ACCEPTED.code) delay(REPORT_DELAY_MILLIS)
        return !fenced && status != HttpStatus.MISDIRECTED.code
    }

    private suspend fun report(state: EndpointState): EngineReport? =
        context.callAndDecode(state.entry.address, engines.report(), REPORT_TIMEOUT_MILLIS, engines::report) { reason ->
            log.write("order.noReport") {
                put("endpoint", state.entry.id.value)
                put("reason", reason)
            }
        }

    private enum class LoadStep { UNDER_WAY, LOADED, GIVEN_UP }

    private companion object {
        const val CLAIM_STEP_MILLIS = 120L

        // An instance that knows no others contends after most of them.
        const val UNKNOWN_CLAIM_MILLIS = 2_000L

        // A lease holder announces its orders several times in this period.
        const val OTHERS_IDLE_MILLIS = 1_000L
        const val REPORT_TIMEOUT_MILLIS = 500L
        const val ORDER_TIMEOUT_MILLIS = 600L

        // Interval between reports of an engine that is loading, which takes about a second.
        const val POLL_INTERVAL_MILLIS = 150L

        // A report shows an accepted order some hundred milliseconds later; until then the order would be repeated.
        const val REPORT_DELAY_MILLIS = 300L

        // Several times the time in which an engine finishes its running requests and loads the weights.
        const val LOAD_TIMEOUT_MILLIS = 6_000L
    }
}
