package org.parsleymoor.gateway.serving

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.parsleymoor.core.Incarnation
import org.parsleymoor.core.OrganisationId
import org.parsleymoor.core.RequestId
import org.parsleymoor.execution.atmostonce.ExecutionAction
import org.parsleymoor.execution.atmostonce.ExecutionAnswer
import org.parsleymoor.execution.atmostonce.KeyedCall
import org.parsleymoor.execution.atmostonce.NotRunReason
import org.parsleymoor.execution.atmostonce.RunOutcome
import org.parsleymoor.execution.atmostonce.Ticket
import org.parsleymoor.execution.atmostonce.TicketLedger
import java.security.SecureRandom

/**
 * Runs calls under tickets that this process issued. Calls under callers' own keys are refused, and tickets of other
 * processes answer `unknown`, until claims and peers take part.
 */
internal class TicketDesk(self: Incarnation, private val scope: CoroutineScope) : AtMostOnce {
    private val lock = Any()
    private val ledger = TicketLedger(self, ByteArray(MAC_KEY_BYTES).also { SecureRandom().nextBytes(it) })
    private val waiters = HashMap<RequestId, CompletableDeferred<ExecutionAnswer>>()

    override fun issue(organisation: OrganisationId): String = synchronized(
        lock
    ) { ledger.issue(organisation) }.toString()

    override suspend fun execute(call: KeyedCall, dispatch: suspend () -> RunOutcome): ExecutionAnswer {
        val ticket = Ticket.parse(call.key) ?: return ExecutionAnswer.NotRun(NotRunReason.PLATFORM_UNAVAILABLE)
        val answer = CompletableDeferred<ExecutionAnswer>()
        val action = synchronized(lock) {
            waiters[call.request] = answer
            ledger.call(ticket, call)
        }
        if (action != null) perform(ticket, action, dispatch)
        return answer.await()
    }

    private fun perform(ticket: Ticket, action: ExecutionAction, dispatch: suspend () -> RunOutcome) {
        when (action) {
            is ExecutionAction.Answer -> answer(action)
            is ExecutionAction.Forward -> answer(synchronized(lock) { ledger.forwarded(action.call, null) })
            is ExecutionAction.Run -> scope.launch { run(ticket, dispatch) }
        }
    }

    private suspend fun run(ticket: Ticket, dispatch: suspend () -> RunOutcome) {
        var outcome: RunOutcome = RunOutcome.Unknown
        try {
            outcome = dispatch()
        } finally {
            synchronized(lock) { ledger.finished(ticket, outcome) }.forEach { answer(it) }
        }
    }

    private fun answer(action: ExecutionAction) {
        if (action !is ExecutionAction.Answer) return
        synchronized(lock) { waiters.remove(action.request) }?.complete(action.answer)
    }

    private companion object {
        const val MAC_KEY_BYTES = 32
    }
}
