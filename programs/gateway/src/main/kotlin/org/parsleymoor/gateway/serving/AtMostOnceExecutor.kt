package org.parsleymoor.gateway.serving

import org.parsleymoor.core.Incarnation
import org.parsleymoor.core.OrganisationId
import org.parsleymoor.execution.atmostonce.ExecutionAnswer
import org.parsleymoor.execution.atmostonce.KeyedCall
import org.parsleymoor.execution.atmostonce.RunOutcome
import org.parsleymoor.execution.atmostonce.Ticket

/** Runs calls with an `Idempotency-Key` at most once (I8). */
internal interface AtMostOnceExecutor {
    /** Issues a ticket for one call of [organisation]. */
    fun issue(organisation: OrganisationId): String

    /**
     * Suspends until the answer to [call]. It is dispatched at most once, also when the caller has gone by then. The
     * [origin] says to which other gateways it may be forwarded.
     */
    suspend fun execute(call: AtMostOnceCall, origin: CallOrigin = CallOrigin.CALLER): ExecutionAnswer
}

/** A call under a key: [sent] is what is sent to a replica or to another gateway, and [dispatch] runs it here. */
internal class AtMostOnceCall(
    val keyed: KeyedCall,
    val groupCall: ServiceGroupCall,
    val dispatch: suspend () -> RunOutcome,
)

/**
 * Where a call came from. Each forwarding goes to a later one of these, so that gateways with different views cannot
 * forward a call in a circle.
 */
internal enum class CallOrigin {
    /** A caller: goes to the owner of the key's shard, or to the issuer of its ticket. */
    CALLER,

    /** A gateway that takes this one for the owner of the key's shard: goes to the process that claimed the key. */
    SHARD_FORWARD,

    /** A gateway that takes this process for the one that issued the ticket or claimed the key: goes nowhere else. */
    PROCESS_FORWARD,
}

/** Sends calls to other gateways. */
internal interface PeerCallForwarder {
    /** Sends [call] to the process that issued [ticket]. */
    suspend fun toIssuer(ticket: Ticket, call: AtMostOnceCall): ForwardResult

    /** Sends [call] to the gateway that owns [shard]; not sent when that is this gateway. */
    suspend fun toOwner(shard: Int, call: AtMostOnceCall): ForwardResult

    /** Sends [call] to the process that has claimed its key. */
    suspend fun toClaimer(claimer: Incarnation, call: AtMostOnceCall): ForwardResult
}

/** What became of a call that was to be forwarded. */
internal sealed interface ForwardResult {
    /** The other gateway answered, or it may have the call and its answer is lost. */
    data class Answered(val answer: ExecutionAnswer) : ForwardResult

    /** No part of the call was sent, or the other gateway refused it before it looked at the key. */
    data object NotSent : ForwardResult

    /** The process has ended. */
    data object Gone : ForwardResult
}
