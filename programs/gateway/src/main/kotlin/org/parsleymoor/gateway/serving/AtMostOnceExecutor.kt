package org.parsleymoor.gateway.serving

import org.parsleymoor.core.Incarnation
import org.parsleymoor.core.OrganisationId
import org.parsleymoor.execution.atmostonce.ExecutionAnswer
import org.parsleymoor.execution.atmostonce.KeyedCall
import org.parsleymoor.execution.atmostonce.RunOutcome
import org.parsleymoor.execution.atmostonce.Ticket

/** Executes calls with an `Idempotency-Key` at most once (I8). */
internal interface AtMostOnceExecutor {
    /** Issues a ticket for one call of [organisation]. */
    fun issue(organisation: OrganisationId): String

    /**
     * Suspends until [call] has been answered. The call is dispatched at most once, even if the caller disconnects
     * meanwhile. [origin] determines which other gateways it may be forwarded to.
     */
    suspend fun execute(call: AtMostOnceCall, origin: CallOrigin = CallOrigin.CALLER): ExecutionAnswer
}

/** A call with an idempotency key. [groupCall] is sent to a replica or another gateway; [dispatch] runs it here. */
internal class AtMostOnceCall(
    val keyed: KeyedCall,
    val groupCall: ServiceGroupCall,
    val dispatch: suspend () -> RunOutcome,
)

/**
 * Where a call came from. A forwarded call always arrives with a later entry, so gateways with different views of the
 * membership cannot forward it in a loop.
 */
internal enum class CallOrigin {
    /** From a caller: may be forwarded to the owner of the key's shard or to the issuer of the ticket. */
    CALLER,

    /**
     * From a gateway that considers this one the owner of the key's shard: may be forwarded to the process that
     * claimed the key.
     */
    SHARD_FORWARD,

    /**
     * From a gateway that considers this process the issuer of the ticket or the claimer of the key: not forwarded
     * again.
     */
    PROCESS_FORWARD,
}

/** Forwards calls to other gateways. */
internal interface PeerCallForwarder {
    /** Forwards [call] to the process that issued [ticket]. */
    suspend fun toIssuer(ticket: Ticket, call: AtMostOnceCall): ForwardResult

    /** Forwards [call] to the gateway that owns [shard]; does not send it if that is this gateway. */
    suspend fun toOwner(shard: Int, call: AtMostOnceCall): ForwardResult

    /** Forwards [call] to the process that has claimed its key. */
    suspend fun toClaimer(claimer: Incarnation, call: AtMostOnceCall): ForwardResult
}

/** Result of forwarding a call. */
internal sealed interface ForwardResult {
    /** The other gateway answered, or it may have received the call and its answer was lost. */
    data class Answered(val answer: ExecutionAnswer) : ForwardResult

    /** No part of the call was sent, or the other gateway refused it before it looked up the key. */
    data object NotSent : ForwardResult

    /** The target process has ended. */
    data object Gone : ForwardResult
}
