package org.parsleymoor.gateway.callers

import org.parsleymoor.core.Failure
import org.parsleymoor.core.FailureException
import org.parsleymoor.execution.Execution

/** What kind of refusal a caller gets; [slug] ends the problem's type and is the `reason` label of the metric. */
internal enum class RefusalKind(val slug: String, val title: String, val status: Int) {
    MALFORMED_JSON("malformed-json", "The body is not the expected JSON", HttpStatus.BAD_REQUEST),
    INVALID_TEXT("invalid-text", "The body is not UTF-8", HttpStatus.BAD_REQUEST),
    INVALID_REQUEST("invalid-request", "The request is not valid", HttpStatus.BAD_REQUEST),
    INVALID_TICKET("invalid-ticket", "The ticket is not valid", HttpStatus.BAD_REQUEST),
    MISSING_KEY("missing-key", "A bearer key is required", HttpStatus.UNAUTHORIZED),
    WRONG_KEY("wrong-key", "The bearer key is not known", HttpStatus.UNAUTHORIZED),
    UNKNOWN_MODEL("unknown-model", "There is no such model", HttpStatus.NOT_FOUND),
    UNKNOWN_GROUP("unknown-group", "There is no such service group", HttpStatus.NOT_FOUND),
    UNKNOWN_PATH("unknown-path", "There is no such resource", HttpStatus.NOT_FOUND),
    WRONG_METHOD("wrong-method", "The method is not allowed here", HttpStatus.METHOD_NOT_ALLOWED),
    SLOW_SENDER("slow-sender", "The request did not arrive in time", HttpStatus.REQUEST_TIMEOUT),
    BODY_TOO_LARGE("body-too-large", "The body is over the limit", HttpStatus.CONTENT_TOO_LARGE),
    PATH_TOO_LONG("path-too-long", "The request line is over the limit", HttpStatus.URI_TOO_LONG),
    KEY_REUSED("key-reused", "The idempotency key belongs to another call", HttpStatus.UNPROCESSABLE),
    OVERLOADED("overloaded", "Too many requests are waiting", HttpStatus.TOO_MANY_REQUESTS),
    HEADERS_TOO_LARGE("headers-too-large", "The headers are over the limit", HttpStatus.HEADERS_TOO_LARGE),
    CALLER_GONE("caller-gone", "The caller closed the connection", HttpStatus.CLIENT_CLOSED),
    INTERNAL("internal", "The gateway failed", HttpStatus.INTERNAL_ERROR),
    ENDPOINT_FAILED("endpoint-failed", "The endpoint did not answer completely", HttpStatus.BAD_GATEWAY),
    NOT_CONFIGURED("not-configured", "The gateway has no configuration yet", HttpStatus.UNAVAILABLE),
    STOPPING("stopping", "The gateway is shutting down", HttpStatus.UNAVAILABLE),
    NO_ENDPOINT("no-endpoint", "No endpoint can take the request now", HttpStatus.UNAVAILABLE),
    PLATFORM_UNAVAILABLE("platform-unavailable", "The claim could not be recorded", HttpStatus.UNAVAILABLE),
    PEER_UNREACHABLE("peer-unreachable", "The gateway for this key is out of reach", HttpStatus.UNAVAILABLE),
    OUTCOME_UNKNOWN("outcome-unknown", "It is not known whether the call ran", HttpStatus.BAD_GATEWAY),
    DEADLINE_PASSED("deadline-passed", "The deadline passed", HttpStatus.GATEWAY_TIMEOUT),
    ;

    /** Whether the request itself is at fault, so that the same request gets the same answer at any time. */
    val isBadInput: Boolean get() = status in CALLER_ERRORS && this != OVERLOADED && this != CALLER_GONE

    private companion object {
        val CALLER_ERRORS = 400..499
    }
}

/** Why a request is refused. [execution] is true of the request at the time of the refusal (I7). */
internal data class Refusal(
    val kind: RefusalKind,
    val detail: String,
    val execution: Execution = Execution.NotRun,
    val retryAfterMillis: Long = 0,
) : Failure {
    override val message: String get() = "${kind.slug}: $detail"

    fun toException(): FailureException = FailureException(this)
}
