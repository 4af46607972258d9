package org.parsleymoor.gateway.callers

import io.opentelemetry.api.trace.Span
import io.vertx.core.VertxException
import io.vertx.core.http.HttpServerRequest
import io.vertx.core.http.HttpServerResponse
import io.vertx.kotlin.coroutines.coAwait
import org.parsleymoor.configuration.OrganisationDeclaration
import org.parsleymoor.core.RequestId
import org.parsleymoor.gateway.ServingView
import java.io.IOException
import kotlin.coroutines.cancellation.CancellationException

/** A caller's request that carries a valid key; [view] is the configuration that it is served under. */
internal class CallerCall(
    val request: RequestId,
    val http: HttpServerRequest,
    val organisation: OrganisationDeclaration,
    val view: ServingView,
    val receivedMillis: Long,
    val span: Span,
) {
    val response: HttpServerResponse get() = http.response()

    /** When the request is given up, in milliseconds since the epoch. */
    val deadlineMillis: Long get() = receivedMillis + view.configuration.limits.requestDeadlineMillis

    /** Ends the response with [json]. */
    suspend fun answer(json: String) {
        response.putHeader("Content-Type", "application/json").putHeader("X-Request-Id", request.value)
        orGone { response.end(json).coAwait() }
    }
}

/** Runs a write to the caller; a broken connection becomes the cancellation of the request. */
internal suspend fun orGone(write: suspend () -> Unit) {
    val failure: Exception = try {
        write()
        return
    } catch (cause: CancellationException) {
        cause
    } catch (cause: IOException) {
        cause
    } catch (cause: VertxException) {
        cause
    } catch (cause: IllegalStateException) {
        // Vert.x reports a write to a response whose connection is closed as an illegal state.
        cause
    }
    throw failure as? CancellationException ?: CancellationException("the caller closed the connection", failure)
}
