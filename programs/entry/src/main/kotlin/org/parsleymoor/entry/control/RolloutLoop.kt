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
import org.parsleymoor.relay.http.HttpStatus
import org.parsleymoor.relay.placement.TargetWeights
import org.parsleymoor.relay.rollout.RolloutPlan

/** Brings engines to the weights that operators have named, while this instance holds the lease for orders. */
internal class RolloutLoop(
    private val context: ControlContext,
    private val lease: OrderLease,
    private val peers: Peers,
) {
    private val beliefs = context.beliefs
    private val client = context.client
    private val engines = context.engines
    private val scope = context.scope
    private val log = context.log
    private val clock = context.clock
    private val plan = RolloutPlan(takeoverMillis = lease.quietMillis)
    private var wantedSinceMillis: Long? = null
    private var turnMembers: Set<InstanceId> = emptySet()
    private var turnMillis = 0L

    /** Gives orders until the coroutine is cancelled. */
    suspend fun run() {
        while (true) {
            step()
            context.ticks.await()
        }
    }

    private fun step() {
        val nowMillis = clock.nowMillis()
        val due = plan.outdatedEngines(beliefs.endpoints, beliefs.weights)
        wantedSinceMillis = if (due.isEmpty()) null else wantedSinceMillis ?: nowMillis
        val quietSinceMillis = beliefs.othersOrderedMillis?.let { it + OTHERS_SILENT_MILLIS } ?: Long.MIN_VALUE
        val wanted = wantedSinceMillis?.let { nowMillis - maxOf(it, quietSinceMillis) >= turnMillis() } ?: false
        lease.tick(wanted || lease.held() != null && plan.isRecentlyActive(nowMillis))
        if (lease.held() == null) return
        plan.enginesToLoad(beliefs.endpoints, beliefs.weights, nowMillis).forEach { (state, named) ->
            plan.loadStarted(state.entry.id, nowMillis)
            scope.launch { bring(state, named) }
        }
    }

    /**
     * Instances want the lease one after the other, and while none is heard to give orders: each that wants it reads it
     * several times a second.
     */
    private fun turnMillis(): Long {
        val members = beliefs.members.orEmpty() + beliefs.self
        if (members != turnMembers) {
            turnMembers = members
            turnMillis = rendezvousOrder("orders", members) { it.value }.indexOf(beliefs.self) * TURN_MILLIS
        }
        return turnMillis
    }

    private suspend fun bring(state: EndpointState, named: TargetWeights) {
        peers.orders(state, active = true)
        val done = try {
            load(state, named)
        } finally {
            peers.orders(state, active = false)
        }
        plan.loadEnded(state.entry.id, done, clock.nowMillis())
    }

    /** Orders until the engine has the weights, does not answer, or the time is over; returns whether it has them. */
    private suspend fun load(state: EndpointState, named: TargetWeights): Boolean {
        val untilMillis = clock.nowMillis() + ORDER_LIFE_MILLIS
        var step = LoadStep.UNDER_WAY
        while (step == LoadStep.UNDER_WAY && clock.nowMillis() < untilMillis) {
            step = loadStep(state, named)
            if (step == LoadStep.UNDER_WAY) delay(POLL_MILLIS)
        }
        return step == LoadStep.LOADED
    }

    private suspend fun loadStep(state: EndpointState, named: TargetWeights): LoadStep {
        val report = report(state)
        report?.weights?.forEach { (model, version) -> state.learnWeights(model, version) }
        state.engineLoad?.let { peers.tell(PeerUpdate.Load(state.entry.id, it, state.allWeights)) }
        return when {
            report == null -> LoadStep.GIVEN_UP
            (report.weights[named.model] ?: 0) >= named.version -> LoadStep.LOADED
            report.busy || order(state, named, report) -> LoadStep.UNDER_WAY
            else -> LoadStep.GIVEN_UP
        }
    }

    /** Sends one order; returns false when no further order may be given. */
    private suspend fun order(state: EndpointState, named: TargetWeights, report: EngineReport): Boolean {
        val held = lease.held() ?: return false
        val order = WeightOrder(
            model = named.model,
            version = named.version,
            holder = beliefs.self.value,
            fencingToken = held.fencingToken,
            afterOrders = report.orders,
        )
        plan.orderSent(clock.nowMillis())
        val call = engines.order(state.entry.id.value, order)
        val result = client.call(state.entry.address, call, ORDER_MILLIS)
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
        if (fenced) lease.refused(held.fencingToken)
        if (status == HttpStatus.ACCEPTED.code) delay(ACCEPTED_MILLIS)
        return !fenced && status != HttpStatus.MISDIRECTED.code
    }

    private suspend fun report(state: EndpointState): EngineReport? =
        context.ask(state.entry.address, engines.report(), REPORT_MILLIS, engines::report) { reason ->
            log.write("order.noReport") {
                put("endpoint", state.entry.id.value)
                put("reason", reason)
            }
        }

    private enum class LoadStep { UNDER_WAY, LOADED, GIVEN_UP }

    private companion object {
        const val TURN_MILLIS = 120L

        // A holder tells of its orders several times in this time.
        const val OTHERS_SILENT_MILLIS = 1_000L
        const val REPORT_MILLIS = 500L
        const val ORDER_MILLIS = 600L

        // Between two reports of an engine that loads, which takes about a second.
        const val POLL_MILLIS = 150L

        // A report shows an order that was accepted after some hundred milliseconds; until then it would be repeated.
        const val ACCEPTED_MILLIS = 300L

        // Runs that finish first, and the load itself, several times over.
        const val ORDER_LIFE_MILLIS = 6_000L
    }
}
