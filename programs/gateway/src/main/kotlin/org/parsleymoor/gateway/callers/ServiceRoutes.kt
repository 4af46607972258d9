package org.parsleymoor.gateway.callers

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrThrow
import com.github.michaelbull.result.mapBoth
import io.vertx.core.buffer.Buffer
import io.vertx.kotlin.coroutines.coAwait
import org.parsleymoor.clients.HeaderField
import org.parsleymoor.clients.ServiceAnswer
import org.parsleymoor.clients.ServiceCall
import org.parsleymoor.clients.WireJson
import org.parsleymoor.configuration.ServiceDeclaration
import org.parsleymoor.execution.Execution
import org.parsleymoor.execution.RetryRules
import org.parsleymoor.execution.atmostonce.ExecutionAnswer
import org.parsleymoor.execution.atmostonce.KeptResponse
import org.parsleymoor.execution.atmostonce.KeyedCall
import org.parsleymoor.execution.atmostonce.NotRunReason
import org.parsleymoor.execution.atmostonce.RunOutcome
import org.parsleymoor.gateway.serving.AtMostOnce
import org.parsleymoor.gateway.serving.GroupCall
import org.parsleymoor.gateway.serving.ServiceRunner
import java.security.MessageDigest
import java.util.HexFormat

/** Serves calls to service groups and issues tickets. */
internal class ServiceRoutes(
    private val runner: ServiceRunner,
    private val atMostOnce: AtMostOnce,
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

    private fun groupCall(call: CallerCall, group: ServiceDeclaration, path: String, body: Buffer): GroupCall {
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
        return GroupCall(call.request, group, outgoing, call.deadlineMillis, call.span)
    }

    /** A call with a key is sent at most once whatever its group says. */
    private suspend fun keyed(call: CallerCall, outgoing: GroupCall, key: String): Result<ServiceAnswer, Refusal> {
        val once = GroupCall(outgoing.request, outgoing.group, outgoing.call.once(), outgoing.deadlineMillis, call.span)
        val fingerprint = fingerprint(once)
        val keyed = KeyedCall(call.request, call.organisation.name, key, fingerprint)
        return when (val answer = atMostOnce.execute(keyed) { outcome(runner.run(once)) }) {
            is ExecutionAnswer.Response -> Ok(answer.response.toAnswer())
            is ExecutionAnswer.NotRun -> Err(notRun(answer.reason))
            is ExecutionAnswer.Unknown ->
                Err(Refusal(RefusalKind.OUTCOME_UNKNOWN, answer.reason.name.lowercase(), Execution.Unknown))
        }
    }

    private fun outcome(result: Result<ServiceAnswer, Refusal>): RunOutcome = result.mapBoth(
        { RunOutcome.Responded(KeptResponse(it.status, it.contentType(), it.body)) },
        { if (it.execution == Execution.NotRun) RunOutcome.NotRun else RunOutcome.Unknown },
    )

    private suspend fun send(call: CallerCall, answer: ServiceAnswer) {
        val response = call.response.setStatusCode(answer.status)
        answer.headers.filter { it.name.lowercase() !in NOT_RETURNED }.forEach { response.putHeader(it.name, it.value) }
        response.putHeader("X-Request-Id", call.request.value)
        orGone { response.end(Buffer.buffer(answer.body)).coAwait() }
    }

    private fun fingerprint(call: GroupCall): String {
        val digest = MessageDigest.getInstance("SHA-256")
        digest.update("${call.group.name}\n${call.call.method}\n${call.call.path}\n".encodeToByteArray())
        return HexFormat.of().formatHex(digest.digest(call.call.body))
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

private const val CONTENT_TYPE = "Content-Type"

private fun notRun(reason: NotRunReason): Refusal {
    val kind = when (reason) {
        NotRunReason.PLATFORM_UNAVAILABLE -> RefusalKind.PLATFORM_UNAVAILABLE
        NotRunReason.ENDPOINT_REFUSED -> RefusalKind.NO_ENDPOINT
        NotRunReason.INVALID_TICKET -> RefusalKind.INVALID_TICKET
        NotRunReason.KEY_REUSED_FOR_ANOTHER_CALL -> RefusalKind.KEY_REUSED
        NotRunReason.TOO_MANY_WAITING -> RefusalKind.OVERLOADED
    }
    return Refusal(kind, reason.name.lowercase())
}

private fun ServiceCall.once() = ServiceCall(method, path, headers, body, repeatable = false)

private fun ServiceAnswer.contentType(): String =
    headers.firstOrNull { it.name.equals(CONTENT_TYPE, ignoreCase = true) }?.value.orEmpty()

private fun KeptResponse.toAnswer() =
    ServiceAnswer(status, listOfNotNull(contentType.ifEmpty { null }?.let { HeaderField(CONTENT_TYPE, it) }), body)
