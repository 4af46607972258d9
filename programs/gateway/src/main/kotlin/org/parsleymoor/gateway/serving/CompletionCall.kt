package org.parsleymoor.gateway.serving

import io.opentelemetry.api.trace.Span
import org.parsleymoor.configuration.LimitsDeclaration
import org.parsleymoor.configuration.ModelDeclaration
import org.parsleymoor.configuration.OrganisationDeclaration
import org.parsleymoor.context.PromptHashes
import org.parsleymoor.core.RequestId

/** The identity of a caller's request, and the tracing [span] that is the parent of its hops. */
internal class RequestContext(
    val request: RequestId,
    val organisation: OrganisationDeclaration,
    val receivedMillis: Long,
    val span: Span,
)

/** A completion to run, with the weight version that [model] had when the request was received. */
internal class CompletionCall(
    val requestContext: RequestContext,
    val model: ModelDeclaration,
    val prompt: String,
    val promptHashes: PromptHashes,
    val maximumTokens: Int,
    val limits: LimitsDeclaration,
) {
    val request: RequestId get() = requestContext.request
    val organisation: OrganisationDeclaration get() = requestContext.organisation
    val span: Span get() = requestContext.span

    /** The deadline of the request, in milliseconds since the epoch. */
    val deadlineMillis: Long get() = requestContext.receivedMillis + limits.requestDeadlineMillis
}

/** Receives the parts of one answer in order. Both functions suspend while the caller does not read. */
internal interface CompletionSink {
    /** Sends the next part of the text. */
    suspend fun text(text: String)

    /** Ends the answer, which is complete. */
    suspend fun complete(finishReason: String, tokens: Int)
}
