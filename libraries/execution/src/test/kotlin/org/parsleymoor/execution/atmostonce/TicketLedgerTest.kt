package org.parsleymoor.execution.atmostonce

import org.junit.jupiter.api.Test
import org.parsleymoor.core.Incarnation
import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.OrganisationId
import org.parsleymoor.core.RequestId
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

class TicketLedgerTest {
    private val self = Incarnation(InstanceId("gateway-1"), 7)
    private val estate = OrganisationId("estate")
    private val response = ServiceResponse(200, "text/plain", "done".encodeToByteArray())
    private val ledger = TicketLedger(self, ByteArray(32))

    /** Guards against running a repeated request a second time (invariant I8). */
    @Test
    fun `a ticket runs once and its response is repeated`() {
        val ticket = ledger.issue(estate)
        ledger.call(ticket, call("r1", ticket))
        ledger.finished(ticket, RunOutcome.Responded(response))

        val action = ledger.call(ticket, call("r2", ticket))

        expectThat(action).isEqualTo(ExecutionAction.Answer(RequestId("r2"), ExecutionAnswer.Response(response)))
    }

    /** Guards against a second run while the first is in progress. */
    @Test
    fun `a request that arrives during the run waits for its outcome`() {
        val ticket = ledger.issue(estate)
        ledger.call(ticket, call("r1", ticket))
        expectThat(ledger.call(ticket, call("r2", ticket))).isNull()

        val answers = ledger.finished(ticket, RunOutcome.Unknown)

        val unknown = ExecutionAnswer.Unknown(UnknownReason.ENDPOINT_LOST)
        expectThat(answers).containsExactly(
            ExecutionAction.Answer(RequestId("r1"), unknown),
            ExecutionAction.Answer(RequestId("r2"), unknown),
        )
    }

    /** Guards against running a ticket that was issued before a restart: the call may have run then. */
    @Test
    fun `tickets of an earlier start are unknown`() {
        val ticket = TicketLedger(self.copy(startMillis = 6), ByteArray(32)).issue(estate)

        val action = ledger.call(ticket, call("r1", ticket))

        expectThat(action).isEqualTo(
            ExecutionAction.Answer(RequestId("r1"), ExecutionAnswer.Unknown(UnknownReason.ISSUER_GONE)),
        )
    }

    /** Guards against forged tickets and tickets of another organisation (invariant I2). */
    @Test
    fun `a ticket of another organisation is refused`() {
        val ticket = ledger.issue(OrganisationId("rival"))

        val action = ledger.call(ticket, call("r1", ticket))

        expectThat(action).isEqualTo(
            ExecutionAction.Answer(RequestId("r1"), ExecutionAnswer.NotRun(NotRunReason.INVALID_TICKET)),
        )
    }

    /** Guards against unbounded memory use, and against a second run of a ticket that is no longer remembered. */
    @Test
    fun `a ticket older than the newest ones is never run`() {
        val bounded = TicketLedger(self, ByteArray(32), TicketSettings(capacity = 10))
        val ticket = bounded.issue(estate)
        repeat(10) { bounded.issue(estate) }

        val action = bounded.call(ticket, call("r1", ticket))

        expectThat(action).isEqualTo(
            ExecutionAction.Answer(RequestId("r1"), ExecutionAnswer.Unknown(UnknownReason.RESPONSE_NOT_KEPT)),
        )
    }

    /** Guards against losing a call that the endpoint refused before running it. */
    @Test
    fun `a ticket whose run was refused by the endpoint may be used again`() {
        val ticket = ledger.issue(estate)
        ledger.call(ticket, call("r1", ticket))
        ledger.finished(ticket, RunOutcome.NotRun)

        val action = ledger.call(ticket, call("r2", ticket))

        expectThat(action).isEqualTo(ExecutionAction.Run(call("r2", ticket)))
    }

    /** Guards against one key for two different calls. */
    @Test
    fun `a ticket that is repeated with another body is refused`() {
        val ticket = ledger.issue(estate)
        ledger.call(ticket, call("r1", ticket))

        val action = ledger.call(ticket, call("r2", ticket).copy(fingerprint = "other"))

        expectThat(action).isEqualTo(
            ExecutionAction.Answer(RequestId("r2"), ExecutionAnswer.NotRun(NotRunReason.KEY_REUSED_FOR_ANOTHER_CALL)),
        )
    }

    /** Guards against a ticket that cannot be parsed because the instance name contains dots. */
    @Test
    fun `the text form of a ticket is parsed`() {
        val ticket = TicketLedger(Incarnation(InstanceId("a.b-1"), 5), ByteArray(32)).issue(estate)

        expectThat(Ticket.parse(ticket.toString())).isEqualTo(ticket)
    }

    private fun call(request: String, ticket: Ticket): KeyedCall =
        KeyedCall(RequestId(request), estate, ticket.toString(), "fingerprint")
}
