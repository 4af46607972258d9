package org.parsleymoor.gateway.callers

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrThrow
import io.vertx.core.buffer.Buffer
import io.vertx.kotlin.coroutines.coAwait
import org.parsleymoor.clients.HeaderField
import org.parsleymoor.clients.ServiceCall
import org.parsleymoor.clients.ServiceCallResponse
import org.parsleymoor.clients.WireJson
import org.parsleymoor.configuration.ServiceDeclaration
import org.parsleymoor.execution.Execution
import org.parsleymoor.execution.RetryRules
import org.parsleymoor.execution.atmostonce.ExecutionAnswer
import org.parsleymoor.execution.atmostonce.NotRunReason
import org.parsleymoor.gateway.serving.AtMostOnceCallFactory
import org.parsleymoor.gateway.serving.AtMostOnceExecutor
import org.parsleymoor.gateway.serving.ServiceGroupCall
import org.parsleymoor.gateway.serving.ServiceRunner
import org.parsleymoor.gateway.serving.toAnswer

/** Serves calls to service groups and issues tickets. */
internal class ServiceRoutes(
    private val runner: ServiceRunner,
    private val onceCalls: AtMostOnceCallFactory,
    private val atMostOnce: AtMostOnceExecutor,
    private val senderMillis: Long,
) {
    /** `POST /tickets`. */
    suspend fun ticket(call: CallerCall) {
        val ticket = IssuedTicket(atMostOnce.issue(call.organisation.name))
        call.answer(WireJson.encodeToString(IssuedTicket.serializer(), ticket))
    }

    /** Any method on `/services/{group}/…`. */
    suspend fun call(call: CallerCall) {
        val path = call.http.path().removePrefix(PREFIX)
        val name = path.substringBefore('/')
        val group = call.view.service(name)
            ?: throw Refusal(RefusalKind.UNKNOWN_GROUP, "found \"${name.take(SHOWN)}\"").toException()
        val body = call.http.readBody(call.view.configuration.limits.maximumBodyBytes, senderMillis)
        val outgoing = groupCall(call, group, "/" + path.substringAfter('/', ""), body)
        val key = call.http.getHeader(KEY_HEADER)
        val answer = if (key == null) runner.run(outgoing) else keyed(call, outgoing, key)
        send(call, answer.getOrThrow { it.toException() })
    }

    private fun groupCall(call: CallerCall, group: ServiceDeclaration, path: String, body: Buffer): ServiceGroupCall {
        val query = call.http.query()?.let { "?$it" }.orEmpty()
        val method = call.http.method().name()
        val headers = call.http.headers().entries()
            .filter { it.key.lowercase() !in NOT_FORWARDED }
            .map { HeaderField(it.key, it.value) }
        val outgoing = ServiceCall(
            method = method,
            path = path + query,
            headers = headers + HeaderField("X-Organisation", call.organisation.name.value),
            body = body.bytes,
            repeatable = RetryRules.serviceCallRepeatable(method, group.repeatable),
        )
        return ServiceGroupCall(call.request, group, outgoing, call.deadlineMillis, call.span)
    }

    private suspend fun keyed(
        call: CallerCall,
        outgoing: ServiceGroupCall,
        key: String,
    ): Result<ServiceCallResponse, Refusal> =
        when (val answer = atMostOnce.execute(onceCalls.of(call.organisation.name, key, outgoing))) {
            is ExecutionAnswer.Response -> Ok(answer.response.toAnswer())
            is ExecutionAnswer.NotRun -> Err(notRun(answer.reason))
            is ExecutionAnswer.Unknown ->
                Err(Refusal(RefusalKind.OUTCOME_UNKNOWN, answer.reason.name.lowercase(), Execution.Unknown))
        }

    private suspend fun send(call: CallerCall, answer: ServiceCallResponse) {
        val response = call.response.setStatusCode(answer.status)
        answer.headers.filter { it.name.lowercase() !in NOT_RETURNED }.forEach { response.putHeader(it.name, it.value) }
        response.putHeader("X-Request-Id", call.request.value)
        orGone { response.end(Buffer.buffer(answer.body)).coAwait() }
    }

    private companion object {
        const val PREFIX = "/services/"
        const val KEY_HEADER = "Idempotency-Key"
        const val SHOWN = 100

        // Headers of one connection, the caller's key, and what the client library sets itself.
        val HOP_HEADERS = setOf(
            "connection",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
        )
        val NOT_FORWARDED = HOP_HEADERS +
            setOf("host", "content-length", "authorization", "traceparent", "x-organisation", "expect")
        val NOT_RETURNED = HOP_HEADERS + setOf("content-length", "x-request-id")
    }
}

private fun notRun(reason: NotRunReason): Refusal {
    val kind = when (reason) {
        NotRunReason.PLATFORM_UNAVAILABLE -> RefusalKind.PLATFORM_UNAVAILABLE
        NotRunReason.ENDPOINT_REFUSED -> RefusalKind.NO_ENDPOINT
        NotRunReason.INVALID_TICKET -> RefusalKind.INVALID_TICKET
        NotRunReason.KEY_REUSED_FOR_ANOTHER_CALL -> RefusalKind.KEY_REUSED
        NotRunReason.TOO_MANY_WAITING -> RefusalKind.OVERLOADED
        NotRunReason.PEER_UNREACHABLE -> RefusalKind.PEER_UNREACHABLE
        NotRunReason.CALL_TOO_LARGE -> RefusalKind.BODY_TOO_LARGE
        NotRunReason.DEADLINE_PASSED -> RefusalKind.DEADLINE_PASSED
    }
    val passing = kind.status == HttpStatus.UNAVAILABLE || kind == RefusalKind.OVERLOADED
    return Refusal(kind, reason.name.lowercase(), retryAfterMillis = if (passing) RETRY_MILLIS else 0)
}

private const val RETRY_MILLIS = 1_000L
