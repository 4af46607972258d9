package org.parsleymoor.execution.atmostonce

import org.parsleymoor.core.Incarnation
import org.parsleymoor.core.OrganisationId
import org.parsleymoor.core.RequestId

/**
 * A non-repeatable call that is identified by an idempotency [key]: a ticket, or a key that the caller chose.
 * [fingerprint] is a digest of method, path and body; a known key with another fingerprint is refused.
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

/** How a dispatched call ended, as reported to a ledger. */
public sealed interface RunOutcome {
    /** The endpoint responded. */
    public data class Responded(public val response: ServiceResponse) : RunOutcome

    /** No byte was written to an endpoint, or the endpoint refused before running the call. */
    public data object NotRun : RunOutcome

    /** The call may or may not have run. */
    public data object Unknown : RunOutcome
}

/** The answer to one request. `NotRun` is about that request only, not about other requests with the same key. */
public sealed interface ExecutionAnswer {
    /** The response of the only run. */
    public data class Response(public val response: ServiceResponse) : ExecutionAnswer

    /** This request did not run and never will. */
    public data class NotRun(public val reason: NotRunReason) : ExecutionAnswer

    /** The call may have run and will not be run again. */
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

/** What the user of a ledger has to do with a call; a ledger does no I/O itself. */
public sealed interface ExecutionAction {
    /** Dispatch [call] to an endpoint exactly once and report its [RunOutcome]. */
    public data class Run(public val call: KeyedCall) : ExecutionAction

    /** Send [answer] to the caller of [request]. */
    public data class Answer(
        public val request: RequestId,
        public val answer: ExecutionAnswer,
    ) : ExecutionAction

    /** Forward [call] to the process that owns its key, and report the answer. */
    public data class Forward(
        public val call: KeyedCall,
        public val to: Incarnation,
    ) : ExecutionAction
}
