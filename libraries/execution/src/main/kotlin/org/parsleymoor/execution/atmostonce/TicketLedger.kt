package org.parsleymoor.execution.atmostonce

import org.parsleymoor.core.Incarnation
import org.parsleymoor.core.OrganisationId
import java.security.MessageDigest
import java.util.BitSet
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/** Limits of a [TicketLedger]: only the newest [capacity] tickets are valid, at one bit of memory each. */
public data class TicketSettings(
    public val capacity: Int = 1_000_000,
    public val history: RunHistorySettings = RunHistorySettings(),
)

/**
 * Issues the tickets of the process [self] and runs the call of each ticket at most once (invariant I8) without writing
 * to the platform. The message authentication code covers the organisation, so no other organisation can use the ticket
 * (invariant I2). [macKey] is random for each process start, so a restart invalidates all tickets. Not thread-safe.
 */
public class TicketLedger(
    private val self: Incarnation,
    macKey: ByteArray,
    private val settings: TicketSettings = TicketSettings(),
) {
    private val mac = Mac.getInstance(MAC_ALGORITHM).apply { init(SecretKeySpec(macKey, MAC_ALGORITHM)) }
    private val runs = KeyedRuns(settings.history)
    private val used = BitSet(settings.capacity)
    private var issued = 0L

    /** Issues a ticket for one call of [organisation]. */
    public fun issue(organisation: OrganisationId): Ticket {
        val number = issued++
        used.clear(slot(number))
        return Ticket(self, number, macOf(organisation, Ticket.signedText(self, number)))
    }

    /** Decides on [call] with [ticket]; returns null if it waits for the run of an earlier request with the ticket. */
    public fun call(ticket: Ticket, call: KeyedCall): ExecutionAction? = when {
        ticket.issuer.instance != self.instance -> ExecutionAction.Forward(call, ticket.issuer)
        ticket.issuer != self -> call.answerUnknown(UnknownReason.ISSUER_GONE)
        !isAuthentic(ticket, call.organisation) -> call.answerNotRun(NotRunReason.INVALID_TICKET)
        ticket.number < issued - settings.capacity -> call.answerUnknown(UnknownReason.RESPONSE_NOT_KEPT)
        else -> decide(ticket, call)
    }

    /** Records how the run with [ticket] ended and returns the answers of all requests that waited for it. */
    public fun finished(ticket: Ticket, outcome: RunOutcome): List<ExecutionAction> {
        if (outcome is RunOutcome.NotRun && ticket.number >= issued - settings.capacity) used.clear(slot(ticket.number))
        return runs.finish(ticket.toString(), outcome)
    }

    /** Returns the answer to a call that was forwarded; [answer] is null if the issuer did not answer. */
    public fun forwarded(call: KeyedCall, answer: ExecutionAnswer?): ExecutionAction =
        answer?.let { ExecutionAction.Answer(call.request, it) } ?: call.answerUnknown(UnknownReason.ISSUER_GONE)

    private fun decide(ticket: Ticket, call: KeyedCall): ExecutionAction? {
        val slot = slot(ticket.number)
        val action = runs.decide(ticket.toString(), call, isNew = !used[slot])
        if (action is ExecutionAction.Run) used.set(slot)
        return action
    }

    private fun isAuthentic(ticket: Ticket, organisation: OrganisationId): Boolean {
        val expected = macOf(organisation, ticket.signedText)
        return MessageDigest.isEqual(expected.encodeToByteArray(), ticket.mac.encodeToByteArray())
    }

    private fun macOf(organisation: OrganisationId, text: String): String =
        mac.doFinal("$organisation\n$text".encodeToByteArray()).take(MAC_BYTES).joinToString("") { "%02x".format(it) }

    private fun slot(number: Long): Int = (number % settings.capacity).toInt()

    private companion object {
        const val MAC_ALGORITHM = "HmacSHA256"
        const val MAC_BYTES = 16
    }
}
