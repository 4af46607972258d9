package org.parsleymoor.execution.atmostonce

import org.parsleymoor.core.Incarnation
import org.parsleymoor.core.OrganisationId
import org.parsleymoor.core.RequestId

/**
 * A non-repeatable call under a ticket or a caller's own [key]. [fingerprint] is a digest of method, path and body; a
 * repeated key with another fingerprint is refused.
 */
public data class KeyedCall(
    public val request: RequestId,
    public val organisation: OrganisationId,
    public val key: String,
    public val fingerprint: String,
)

/** A plain service's response: its status, content type and body. */
public class ServiceResponse(
    public val status: Int,
    public val contentType: String,
    public val body: ByteArray,
)

/** How a dispatched call ended, as the data path reports it to a ledger. */
public sealed interface RunOutcome {
    /** The endpoint responded. */
    public data class Responded(public val response: ServiceResponse) : RunOutcome

    /** No byte was written to an endpoint, or the endpoint refused before running the call. */
    public data object NotRun : RunOutcome

    /** The call may have run. */
    public data object Unknown : RunOutcome
}

/** What the caller is told. `NotRun` speaks of the request that it answers, not of other requests with its key. */
public sealed interface ExecutionAnswer {
    /** The response of the one run. */
    public data class Response(public val response: ServiceResponse) : ExecutionAnswer

    /** This request did not run and will not. */
    public data class NotRun(public val reason: NotRunReason) : ExecutionAnswer

    /** The call may have run and is not run again. */
    public data class Unknown(public val reason: UnknownReason) : ExecutionAnswer
}

/** Why a request did not run. */
public enum class NotRunReason {
    PLATFORM_UNAVAILABLE,
    ENDPOINT_REFUSED,
    INVALID_TICKET,
    KEY_REUSED_FOR_ANOTHER_CALL,
    TOO_MANY_WAITING,
    PEER_UNREACHABLE,
    CALL_TOO_LARGE,
    DEADLINE_PASSED,
}

/** Why it is unknown whether a call ran. */
public enum class UnknownReason {
    CLAIMER_GONE,
    ISSUER_GONE,
    ENDPOINT_LOST,
    RESPONSE_NOT_KEPT,
    NO_ANSWER_FROM_PEER,
    RESPONSE_TOO_LARGE,
}

/** What a ledger asks its shell to do with a call. */
public sealed interface ExecutionAction {
    /** Dispatch [call] to an endpoint, once, and report its [RunOutcome]. */
    public data class Run(public val call: KeyedCall) : ExecutionAction

    /** Answer the request. */
    public data class Answer(
        public val request: RequestId,
        public val answer: ExecutionAnswer,
    ) : ExecutionAction

    /** Send [call] to the process that owns its key, and report what it answered. */
    public data class Forward(
        public val call: KeyedCall,
        public val to: Incarnation,
    ) : ExecutionAction
}
