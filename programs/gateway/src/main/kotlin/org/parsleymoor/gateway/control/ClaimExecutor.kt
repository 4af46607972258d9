package org.parsleymoor.gateway.control

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.parsleymoor.clients.PlatformClient
import org.parsleymoor.core.Clock
import org.parsleymoor.core.Incarnation
import org.parsleymoor.core.RequestId
import org.parsleymoor.execution.atmostonce.ClaimAction
import org.parsleymoor.execution.atmostonce.ClaimLedger
import org.parsleymoor.execution.atmostonce.ExecutionAction
import org.parsleymoor.execution.atmostonce.ExecutionAnswer
import org.parsleymoor.execution.atmostonce.KeyedCall
import org.parsleymoor.execution.atmostonce.RunOutcome
import org.parsleymoor.execution.atmostonce.Ticket
import org.parsleymoor.execution.atmostonce.UnknownReason
import org.parsleymoor.gateway.serving.AtMostOnceCall
import org.parsleymoor.gateway.serving.AtMostOnceExecutor
import org.parsleymoor.gateway.serving.CallOrigin
import org.parsleymoor.gateway.serving.ForwardResult
import org.parsleymoor.gateway.serving.PeerCallForwarder
import org.parsleymoor.gateway.serving.toAnswer

/**
 * Executes calls with keys that callers chose, using claims stored in the platform, and delegates calls with tickets to
 * [tickets]. A caller's call is forwarded to the gateway that owns the shard of its key, so that calls from all
 * gateways share claim writes. When the owner is unreachable, this gateway claims the key itself; the conditional
 * update admits only one claim. A call whose key another process has claimed is forwarded to that process.
 */
internal class ClaimExecutor(
    self: Incarnation,
    platform: PlatformClient,
    private val tickets: AtMostOnceExecutor,
    private val forwarder: PeerCallForwarder,
    private val clock: Clock,
    private val scope: CoroutineScope,
) : AtMostOnceExecutor by tickets {
    private val lock = Any()
    private val ledger = ClaimLedger(self)
    private val objects = ClaimObjects(platform)
    private val waiters = HashMap<RequestId, Waiter>()

    /** Starts the periodic tick that issues queued writes; runs until the scope ends. */
    fun start() {
        scope.launch {
            while (true) {
                delay(TICK_MILLIS)
                perform(synchronized(lock) { ledger.tick(clock.nowMillis()) })
            }
        }
    }

    /** Retains claims for [hours], starting with the next write. */
    fun retain(hours: Int) {
        synchronized(lock) { ledger.retain(hours * MILLIS_PER_HOUR) }
    }

    override suspend fun execute(call: AtMostOnceCall, origin: CallOrigin): ExecutionAnswer {
        if (Ticket.parse(call.keyed.key) != null) return tickets.execute(call, origin)
        val forwarded = if (origin == CallOrigin.CALLER) toOwner(call) else ForwardResult.NotSent
        return if (forwarded is ForwardResult.Answered) forwarded.answer else executeLocally(call, origin)
    }

    private suspend fun toOwner(call: AtMostOnceCall): ForwardResult {
        val shard = synchronized(lock) {
            ledger.shardOf(call.keyed.organisation, call.keyed.key).takeUnless { ledger.knows(call.keyed) }
        }
        return if (shard == null) ForwardResult.NotSent else forwarder.toOwner(shard, call)
    }

    private suspend fun executeLocally(call: AtMostOnceCall, origin: CallOrigin): ExecutionAnswer {
        val waiter = Waiter(call, origin)
        val actions = synchronized(lock) {
            waiters[call.keyed.request] = waiter
            ledger.call(clock.nowMillis(), call.keyed)
        }
        perform(actions)
        return waiter.answer.await()
    }

    private fun perform(actions: List<ClaimAction>) = actions.forEach { action ->
        if (action is ClaimAction.Execute) execute(action.action) else scope.launch { callPlatform(action) }
    }

    private suspend fun callPlatform(action: ClaimAction) {
        val event = objects.perform(action) ?: return
        perform(synchronized(lock) { ledger.handle(clock.nowMillis(), event) })
    }

    private fun execute(action: ExecutionAction) {
        when (action) {
            is ExecutionAction.Answer ->
                synchronized(lock) { waiters.remove(action.request) }?.answer?.complete(action.answer)
            is ExecutionAction.Forward -> scope.launch { forward(action) }
            is ExecutionAction.Run -> scope.launch { run(action.call) }
        }
    }

    private suspend fun forward(action: ExecutionAction.Forward) {
        val waiter = synchronized(lock) { waiters[action.call.request] }
        var answer: ExecutionAnswer? = ExecutionAnswer.Unknown(UnknownReason.NO_ANSWER_FROM_PEER)
        try {
            val mayForward = waiter != null && waiter.origin != CallOrigin.PROCESS_FORWARD
            answer = if (mayForward) forwarder.toClaimer(action.to, waiter.call).toAnswer() else null
        } finally {
            perform(listOf(synchronized(lock) { ledger.forwarded(action.call, answer) }))
        }
    }

    private suspend fun run(call: KeyedCall) {
        val waiter = synchronized(lock) { waiters[call.request] }
        var outcome: RunOutcome = RunOutcome.Unknown
        try {
            outcome = waiter?.call?.dispatch?.invoke() ?: RunOutcome.NotRun
        } finally {
            perform(synchronized(lock) { ledger.finished(call, outcome) })
        }
    }

    private class Waiter(val call: AtMostOnceCall, val origin: CallOrigin) {
        val answer = CompletableDeferred<ExecutionAnswer>()
    }

    private companion object {
        const val TICK_MILLIS = 10L
        const val MILLIS_PER_HOUR = 3_600_000L
    }
}
