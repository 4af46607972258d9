package org.parsleymoor.gateway.control

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.parsleymoor.clients.PlatformClient
import org.parsleymoor.core.Clock
import org.parsleymoor.core.Incarnation
import org.parsleymoor.core.OrganisationId
import org.parsleymoor.core.RequestId
import org.parsleymoor.execution.atmostonce.ClaimAction
import org.parsleymoor.execution.atmostonce.ClaimLedger
import org.parsleymoor.execution.atmostonce.ExecutionAction
import org.parsleymoor.execution.atmostonce.ExecutionAnswer
import org.parsleymoor.execution.atmostonce.KeyedCall
import org.parsleymoor.execution.atmostonce.RunOutcome
import org.parsleymoor.execution.atmostonce.Ticket
import org.parsleymoor.gateway.serving.AtMostOnce

/**
 * Runs calls under callers' own keys with claims in the platform, and leaves calls under tickets to [tickets]. A call
 * whose key another process has claimed answers `unknown`, because it is not forwarded there yet.
 */
internal class ClaimDesk(
    self: Incarnation,
    platform: PlatformClient,
    private val tickets: AtMostOnce,
    private val clock: Clock,
    private val scope: CoroutineScope,
) : AtMostOnce {
    private val lock = Any()
    private val ledger = ClaimLedger(self)
    private val objects = ClaimObjects(platform)
    private val waiters = HashMap<RequestId, Waiter>()

    /** Starts the writes that wait for their turn, until the scope ends. */
    fun start() {
        scope.launch {
            while (true) {
                delay(TICK_MILLIS)
                perform(synchronized(lock) { ledger.tick(clock.nowMillis()) })
            }
        }
    }

    override fun issue(organisation: OrganisationId): String = tickets.issue(organisation)

    override suspend fun execute(call: KeyedCall, dispatch: suspend () -> RunOutcome): ExecutionAnswer {
        if (Ticket.parse(call.key) != null) return tickets.execute(call, dispatch)
        val waiter = Waiter(dispatch)
        val actions = synchronized(lock) {
            waiters[call.request] = waiter
            ledger.call(clock.nowMillis(), call)
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
            is ExecutionAction.Answer -> answer(action)
            is ExecutionAction.Forward -> perform(listOf(ledger.forwarded(action.call, null)))
            is ExecutionAction.Run -> scope.launch { run(action.call) }
        }
    }

    private suspend fun run(call: KeyedCall) {
        val waiter = synchronized(lock) { waiters[call.request] }
        var outcome: RunOutcome = RunOutcome.Unknown
        try {
            outcome = waiter?.dispatch?.invoke() ?: RunOutcome.NotRun
        } finally {
            perform(synchronized(lock) { ledger.finished(call, outcome) })
        }
    }

    private fun answer(action: ExecutionAction.Answer) {
        synchronized(lock) { waiters.remove(action.request) }?.answer?.complete(action.answer)
    }

    private class Waiter(val dispatch: suspend () -> RunOutcome) {
        val answer = CompletableDeferred<ExecutionAnswer>()
    }

    private companion object {
        const val TICK_MILLIS = 10L
    }
}
