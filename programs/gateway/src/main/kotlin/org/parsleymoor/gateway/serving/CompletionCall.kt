package org.parsleymoor.gateway.serving

import io.opentelemetry.api.trace.Span
import org.parsleymoor.configuration.LimitsDeclaration
import org.parsleymoor.configuration.ModelDeclaration
import org.parsleymoor.configuration.OrganisationDeclaration
import org.parsleymoor.context.PromptHashes
import org.parsleymoor.core.RequestId

/** Who asks, and the [span] that the request's hops belong to. */
internal class RequestContext(
    val request: RequestId,
    val organisation: OrganisationDeclaration,
    val receivedMillis: Long,
    val span: Span,
)

/** A completion to run. The weight version is that of [model] when the request was received. */
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

    /** When the request is given up, in milliseconds since the epoch. */
    val deadlineMillis: Long get() = requestContext.receivedMillis + limits.requestDeadlineMillis
}

/** Takes the parts of one whole answer, in order. Both functions suspend while the caller does not read. */
internal interface CompletionSink {
    /** The next text. */
    suspend fun text(text: String)

    /** The answer is whole. */
    suspend fun complete(finishReason: String, tokens: Int)
}
