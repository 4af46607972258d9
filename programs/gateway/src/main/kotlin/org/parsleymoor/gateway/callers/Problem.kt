package org.parsleymoor.gateway.callers

import io.vertx.core.http.HttpServerResponse
import kotlinx.serialization.Serializable
import org.parsleymoor.clients.WireJson
import org.parsleymoor.core.RequestId
import org.parsleymoor.execution.Execution

/** The body of a refusal in the form of RFC 9457. */
@Serializable
internal data class Problem(
    val type: String,
    val title: String,
    val status: Int,
    val detail: String,
    val requestId: String,
    val retryAfterMillis: Long,
    val execution: Execution,
) {
    fun toJson(): String = WireJson.encodeToString(serializer(), this)

    companion object {
        const val CONTENT_TYPE = "application/problem+json"
        private const val TYPE_PREFIX = "urn:parsleymoor:problem:"

        fun of(refusal: Refusal, request: RequestId): Problem = Problem(
            type = TYPE_PREFIX + refusal.kind.slug,
            title = refusal.kind.title,
            status = refusal.kind.status,
            detail = refusal.detail,
            requestId = request.value,
            retryAfterMillis = refusal.retryAfterMillis,
            execution = refusal.execution,
        )
    }
}

/** Ends the response with [refusal]; the connection is closed when the rest of the request may still arrive. */
internal fun HttpServerResponse.refuse(refusal: Refusal, request: RequestId) {
    if (ended() || closed()) return
    setStatusCode(refusal.kind.status).putHeader("Content-Type", Problem.CONTENT_TYPE)
    putHeader("X-Request-Id", request.value)
    when (refusal.kind) {
        RefusalKind.MISSING_KEY, RefusalKind.WRONG_KEY -> putHeader("WWW-Authenticate", "Bearer")
        RefusalKind.BODY_TOO_LARGE, RefusalKind.SLOW_SENDER, RefusalKind.STOPPING -> putHeader("Connection", "close")
        else -> Unit
    }
    if (refusal.retryAfterMillis > 0) {
        val seconds = (refusal.retryAfterMillis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND
        putHeader("Retry-After", seconds.toString())
    }
    end(Problem.of(refusal, request).toJson())
}

private const val MILLIS_PER_SECOND = 1_000L
