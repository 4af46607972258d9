package org.parsleymoor.gateway.serving

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.parsleymoor.core.Incarnation
import org.parsleymoor.core.OrganisationId
import org.parsleymoor.core.RequestId
import org.parsleymoor.execution.atmostonce.ExecutionAction
import org.parsleymoor.execution.atmostonce.ExecutionAnswer
import org.parsleymoor.execution.atmostonce.NotRunReason
import org.parsleymoor.execution.atmostonce.RunOutcome
import org.parsleymoor.execution.atmostonce.Ticket
import org.parsleymoor.execution.atmostonce.TicketLedger
import org.parsleymoor.execution.atmostonce.UnknownReason
import java.security.SecureRandom

/**
 * Executes calls with tickets that this process issued, and forwards calls with other tickets to their issuer. Refuses
 * calls with a key that the caller chose; [org.parsleymoor.gateway.control.ClaimExecutor] executes those.
 */
internal class TicketExecutor(
    self: Incarnation,
    private val forwarder: PeerCallForwarder,
    private val scope: CoroutineScope,
) : AtMostOnceExecutor {
    private val lock = Any()
    private val ledger = TicketLedger(self, ByteArray(MAC_KEY_BYTES).also { SecureRandom().nextBytes(it) })
    private val waiters = HashMap<RequestId, CompletableDeferred<ExecutionAnswer>>()

    override fun issue(organisation: OrganisationId): String =
        synchronized(lock) { ledger.issue(organisation) }.toString()

    override suspend fun execute(call: AtMostOnceCall, origin: CallOrigin): ExecutionAnswer {
        val ticket = Ticket.parse(call.keyed.key) ?: return ExecutionAnswer.NotRun(NotRunReason.PLATFORM_UNAVAILABLE)
        val answer = CompletableDeferred<ExecutionAnswer>()
        val action = synchronized(lock) {
            waiters[call.keyed.request] = answer
            ledger.call(ticket, call.keyed)
        }
        if (action != null) perform(ticket, action, call, origin)
        return answer.await()
    }

    private fun perform(ticket: Ticket, action: ExecutionAction, call: AtMostOnceCall, origin: CallOrigin) {
        when (action) {
            is ExecutionAction.Answer -> answer(action)
            is ExecutionAction.Forward -> scope.launch { forward(ticket, call, origin) }
            is ExecutionAction.Run -> scope.launch { run(ticket, call.dispatch) }
        }
    }

    private suspend fun forward(ticket: Ticket, call: AtMostOnceCall, origin: CallOrigin) {
        var answer: ExecutionAnswer? = ExecutionAnswer.Unknown(UnknownReason.NO_ANSWER_FROM_PEER)
        try {
            val forwarded = if (origin == CallOrigin.CALLER) forwarder.toIssuer(ticket, call) else ForwardResult.NotSent
            answer = forwarded.toAnswer()
        } finally {
            answer(synchronized(lock) { ledger.forwarded(call.keyed, answer) })
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

/** Returns the answer to a call that only one process may run; null if that process has ended. */
internal fun ForwardResult.toAnswer(): ExecutionAnswer? = when (this) {
    is ForwardResult.Answered -> answer
    is ForwardResult.NotSent -> ExecutionAnswer.NotRun(NotRunReason.PEER_UNREACHABLE)
    is ForwardResult.Gone -> null
}
