package org.parsleymoor.gateway.callers

import io.github.oshai.kotlinlogging.KotlinLogging
import io.opentelemetry.api.trace.Span
import io.vertx.core.Vertx
import io.vertx.core.http.HttpServerRequest
import io.vertx.ext.web.RoutingContext
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import org.parsleymoor.clients.RequestStepKind
import org.parsleymoor.core.FailureException
import org.parsleymoor.core.RequestId
import org.parsleymoor.execution.Execution
import org.parsleymoor.gateway.operations.WorkCount
import org.parsleymoor.gateway.operations.fail
import org.parsleymoor.gateway.serving.ServingDependencies
import java.util.UUID

/** Receives callers' requests: checks the key, runs the route as a coroutine and answers every failure. */
internal class CallerEntry(
    private val vertx: Vertx,
    private val tools: ServingDependencies,
    private val work: WorkCount,
    private val scope: CoroutineScope,
) {
    /** Runs [serve] for the request of [context]; [route] names it in metrics and spans. */
    fun handle(context: RoutingContext, route: String, serve: suspend (CallerCall) -> Unit) {
        val received = Received(context.request(), route)
        if (!work.begin()) {
            received.refuse(Refusal(RefusalKind.STOPPING, "try another gateway", retryAfterMillis = RETRY_MILLIS))
            received.end()
            return
        }
        val failures = CoroutineExceptionHandler { _, cause -> received.crash(cause) }
        // The first steps run at once, because handlers for the body have to be set before its bytes arrive.
        val job = scope.launch(vertx.dispatcher() + failures, CoroutineStart.UNDISPATCHED) {
            received.cancelOnClose(currentCoroutineContext().job)
            received.run(serve)
        }
        job.invokeOnCompletion {
            work.end()
            received.end()
        }
    }

    /** Answers a request that no route serves. */
    fun refuse(http: HttpServerRequest, refusal: Refusal) {
        val received = Received(http, "none")
        received.refuse(refusal)
        received.end()
    }

    private inner class Received(private val http: HttpServerRequest, private val route: String) {
        private val request = RequestId(UUID.randomUUID().toString())
        private val receivedMillis = tools.clock.nowMillis()
        private val span: Span = tools.tracing.request(route, http.headers())
        private var refused: RefusalKind? = null

        suspend fun run(serve: suspend (CallerCall) -> Unit) {
            tools.records.add(request, RequestStepKind.RECEIVED, route, "${http.method()} ${http.path().take(SHOWN)}")
            try {
                serve(identify())
            } catch (cause: FailureException) {
                refuse(cause.failure as? Refusal ?: throw cause)
            }
        }

        fun refuse(refusal: Refusal) {
            span.fail(refusal)
            tools.metrics.refused(refusal.kind.slug)
            tools.records.add(request, RequestStepKind.REFUSED, route, refusal.message)
            val response = http.response()
            if (response.headWritten()) breakOff(refusal) else response.refuse(refusal, request)
            refused = refusal.kind
        }

        fun crash(cause: Throwable) {
            logger.atError {
                message = "the request failed"
                this.cause = cause
                payload = ids()
            }
            refuse(Refusal(RefusalKind.INTERNAL, "an unexpected failure was logged", Execution.Unknown))
        }

        fun cancelOnClose(job: Job) {
            val response = http.response()
            response.exceptionHandler { }
            response.closeHandler { if (!response.ended()) job.cancel() }
        }

        fun end() {
            val final = refused?.status ?: http.response().statusCode
            if (refused?.isBadInput == true || !http.response().ended()) tools.records.dropUnserved(request)
            val millis = tools.clock.nowMillis() - receivedMillis
            tools.metrics.answered(route, final, millis)
            span.setAttribute("http.response.status_code", final.toLong())
            span.end()
            logger.atInfo {
                message = "request ended"
                payload = ids() + outcome(final, millis)
            }
        }

        private fun identify(): CallerCall {
            val view = tools.configuration.current ?: throw NOT_CONFIGURED.toException()
            val key = http.getHeader("Authorization")?.takeIf { it.startsWith(BEARER) }?.removePrefix(BEARER)?.trim()
            val organisation = key?.let { view.organisationOf(it) }
                ?: throw (if (key.isNullOrEmpty()) MISSING_KEY else WRONG_KEY).toException()
            return CallerCall(request, http, organisation, view, receivedMillis, span)
        }

        /** Part of the answer has been sent: the missing end marker and the closed connection tell the caller. */
        private fun breakOff(refusal: Refusal) {
            val response = http.response()
            if (response.ended() || response.closed()) return
            response.write("event: error\ndata: ${Problem.of(refusal, request).toJson()}\n\n")
                .onComplete { response.reset() }
        }

        private fun outcome(status: Int, millis: Long): Map<String, Any> =
            mapOf("route" to route, "status" to status, "millis" to millis) +
                refused?.let { mapOf("reason" to it.slug) }.orEmpty()

        private fun ids(): Map<String, Any> = mapOf("requestId" to request.value, "traceId" to span.spanContext.traceId)
    }

    private companion object {
        val logger = KotlinLogging.logger {}
        const val BEARER = "Bearer "
        const val RETRY_MILLIS = 1_000L
        const val SHOWN = 200
        val MISSING_KEY = Refusal(RefusalKind.MISSING_KEY, "expected the header Authorization: Bearer KEY")
        val WRONG_KEY = Refusal(RefusalKind.WRONG_KEY, "expected the key of an organisation")
        val NOT_CONFIGURED = Refusal(
            RefusalKind.NOT_CONFIGURED,
            "expected a configuration from the platform, found none",
            retryAfterMillis = RETRY_MILLIS,
        )
    }
}
