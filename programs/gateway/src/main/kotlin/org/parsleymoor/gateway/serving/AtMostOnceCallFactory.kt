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

/** Creates calls that [runner] sends at most once. */
internal class AtMostOnceCallFactory(private val runner: ServiceRunner) {
    /** Returns [call] with [key]; it is sent at most once even if its service group is declared repeatable. */
    fun of(organisation: OrganisationId, key: String, call: ServiceGroupCall): AtMostOnceCall {
        val singleAttempt = ServiceGroupCall(
            call.request,
            call.group,
            call.serviceCall.notRepeatable(),
            call.deadlineMillis,
            call.span,
        )
        val keyed = KeyedCall(call.request, organisation, key, fingerprint(singleAttempt))
        return AtMostOnceCall(keyed, singleAttempt) { outcome(runner.run(singleAttempt)) }
    }

    private fun outcome(result: Result<ServiceCallResponse, Refusal>): RunOutcome = result.mapBoth(
        { RunOutcome.Responded(ServiceResponse(it.status, it.contentType(), it.body)) },
        { if (it.execution == Execution.NotRun) RunOutcome.NotRun else RunOutcome.Unknown },
    )

    private fun fingerprint(call: ServiceGroupCall): String {
        val digest = MessageDigest.getInstance("SHA-256")
        digest.update("${call.group.name}\n${call.serviceCall.method}\n${call.serviceCall.path}\n".encodeToByteArray())
        return HexFormat.of().formatHex(digest.digest(call.serviceCall.body))
    }
}

/** Converts the response to the answer for a caller. */
internal fun ServiceResponse.toAnswer() =
    ServiceCallResponse(
        status,
        listOfNotNull(contentType.ifEmpty { null }?.let { HeaderField(CONTENT_TYPE, it) }),
        body,
    )

private const val CONTENT_TYPE = "Content-Type"

private fun ServiceCall.notRepeatable() = ServiceCall(method, path, headers, body, repeatable = false)

private fun ServiceCallResponse.contentType(): String =
    headers.firstOrNull { it.name.equals(CONTENT_TYPE, ignoreCase = true) }?.value.orEmpty()
