package org.parsleymoor.gateway.serving

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.mapBoth
import org.parsleymoor.clients.HeaderField
import org.parsleymoor.clients.ServiceCall
import org.parsleymoor.clients.ServiceCallResponse
import org.parsleymoor.core.OrganisationId
import org.parsleymoor.execution.Execution
import org.parsleymoor.execution.atmostonce.KeyedCall
import org.parsleymoor.execution.atmostonce.RunOutcome
import org.parsleymoor.execution.atmostonce.ServiceResponse
import org.parsleymoor.gateway.callers.Refusal
import java.security.MessageDigest
import java.util.HexFormat

/** Makes calls that [runner] sends at most once. */
internal class OnceCalls(private val runner: ServiceRunner) {
    /** Returns [call] under [key]; it is sent at most once whatever its group says. */
    fun of(organisation: OrganisationId, key: String, call: GroupCall): OnceCall {
        val once = GroupCall(call.request, call.group, call.call.once(), call.deadlineMillis, call.span)
        val keyed = KeyedCall(call.request, organisation, key, fingerprint(once))
        return OnceCall(keyed, once) { outcome(runner.run(once)) }
    }

    private fun outcome(result: Result<ServiceCallResponse, Refusal>): RunOutcome = result.mapBoth(
        { RunOutcome.Responded(ServiceResponse(it.status, it.contentType(), it.body)) },
        { if (it.execution == Execution.NotRun) RunOutcome.NotRun else RunOutcome.Unknown },
    )

    private fun fingerprint(call: GroupCall): String {
        val digest = MessageDigest.getInstance("SHA-256")
        digest.update("${call.group.name}\n${call.call.method}\n${call.call.path}\n".encodeToByteArray())
        return HexFormat.of().formatHex(digest.digest(call.call.body))
    }
}

/** Returns the response as it goes to a caller. */
internal fun ServiceResponse.toAnswer() =
    ServiceCallResponse(
        status,
        listOfNotNull(contentType.ifEmpty { null }?.let { HeaderField(CONTENT_TYPE, it) }),
        body,
    )

private const val CONTENT_TYPE = "Content-Type"

private fun ServiceCall.once() = ServiceCall(method, path, headers, body, repeatable = false)

private fun ServiceCallResponse.contentType(): String =
    headers.firstOrNull { it.name.equals(CONTENT_TYPE, ignoreCase = true) }?.value.orEmpty()
