package org.parsleymoor.explore

import org.parsleymoor.core.Incarnation
import org.parsleymoor.core.OrganisationId
import org.parsleymoor.core.RequestId
import org.parsleymoor.execution.atmostonce.ClaimAction
import org.parsleymoor.execution.atmostonce.ClaimLedger
import org.parsleymoor.execution.atmostonce.ClaimSettings
import org.parsleymoor.execution.atmostonce.ExecutionAction
import org.parsleymoor.execution.atmostonce.ExecutionAnswer
import org.parsleymoor.execution.atmostonce.KeyedCall
import org.parsleymoor.execution.atmostonce.RunOutcome
import org.parsleymoor.execution.atmostonce.Ticket
import org.parsleymoor.execution.atmostonce.TicketLedger

/** A gateway's ledgers, joined to the simulated platform, service and peers. */
internal class ExecutionProcess(private val world: ExecutionWorld, val host: Host) {
    private lateinit var tickets: TicketLedger
    private lateinit var claims: ClaimLedger
    private lateinit var client: ClaimClient
    private val carrier = CallCarrier(world, host)
    private lateinit var replies: HashMap<RequestId, (ExecutionAnswer) -> Unit>

    init {
        host.onStart = ::start
    }

    fun issue(organisation: OrganisationId): Ticket = tickets.issue(organisation)

    /** Takes a caller's request. A claim call goes to the owner of its shard when that is believed to run. */
    fun receive(call: KeyedCall) {
        val owner = world.processes[claims.shardOf(call.organisation, call.key) % world.processes.size]
        val forward = Ticket.parse(call.key) == null && owner !== this && world.chance.happens(OWNER_BELIEVED)
        if (forward) {
            carrier.forward(call, owner.host.incarnation) { world.answer(call, it) }
        } else {
            execute(call) { world.answer(call, it) }
        }
    }

    /** Decides on [call] here and calls [reply] with each answer. */
    fun execute(call: KeyedCall, reply: (ExecutionAnswer) -> Unit) {
        world.note { "${host.incarnation} takes ${call.request} with key ${call.key}" }
        replies[call.request] = reply
        val ticket = Ticket.parse(call.key)
        if (ticket == null) {
            claims.call(host.clockMillis, call).forEach { perform(it) }
        } else {
            tickets.call(ticket, call)?.let { perform(it) }
        }
    }

    private fun start() {
        val honoured = world.isFaulty(SeededFault.TICKET_SURVIVES_RESTART)
        val issuer = if (honoured) Incarnation(host.name, 0) else host.incarnation
        tickets = TicketLedger(issuer, MAC_KEY)
        claims = ClaimLedger(host.incarnation, SETTINGS)
        client = ClaimClient(world, host) { event -> claims.handle(host.clockMillis, event).forEach { perform(it) } }
        replies = HashMap()
        if (honoured) repeat(ISSUED_BEFORE) { tickets.issue(OrganisationId("estate")) }
        host.every(TICK_MILLIS) { claims.tick(host.clockMillis).forEach { perform(it) } }
    }

    private fun perform(action: ClaimAction) {
        if (action is ClaimAction.Execute) perform(action.action) else client.perform(action)
    }

    private fun perform(action: ExecutionAction) {
        when (action) {
            is ExecutionAction.Run -> carrier.dispatch(action.call, ::finish)
            is ExecutionAction.Answer -> replies[action.request]?.invoke(action.answer)
            is ExecutionAction.Forward -> carrier.forward(action.call, action.to) { answerForwarded(action.call, it) }
        }
    }

    private fun answerForwarded(call: KeyedCall, answer: ExecutionAnswer?) {
        val ticket = Ticket.parse(call.key)
        val lost = answer == null || answer is ExecutionAnswer.Unknown
        when {
            lost && world.isFaulty(SeededFault.LOST_FORWARD_RUN_AGAIN) -> carrier.dispatch(call, ::finish)
            ticket == null -> perform(claims.forwarded(call, answer))
            else -> perform(tickets.forwarded(call, answer))
        }
    }

    private fun finish(call: KeyedCall, outcome: RunOutcome) {
        val ticket = Ticket.parse(call.key)
        if (ticket == null) {
            claims.finished(call, outcome).forEach { perform(it) }
        } else {
            tickets.finished(ticket, outcome).forEach { perform(it) }
        }
    }

    private companion object {
        val SETTINGS = ClaimSettings(shards = 2, sealBytes = 900)
        val MAC_KEY = ByteArray(32) { it.toByte() }
        const val TICK_MILLIS = 250L
        const val OWNER_BELIEVED = 0.7
        const val ISSUED_BEFORE = 1_000
    }
}
