package org.parsleymoor.entry.serving

import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.serialization.json.put
import org.parsleymoor.core.RequestId
import org.parsleymoor.entry.callers.CallerRequest
import org.parsleymoor.entry.callers.RequestHandler
import org.parsleymoor.entry.callers.ResponseWriter
import org.parsleymoor.entry.log.shortTrace
import org.parsleymoor.entry.protocol.HeaderNames
import org.parsleymoor.relay.prompt.PromptContext
import org.parsleymoor.relay.routing.Organisation
import org.parsleymoor.relay.routing.Route
import org.parsleymoor.relay.routing.RouteTable
import kotlin.random.Random

/** Routes and authorises callers' requests and hands those accepted to [delivery]. */
internal class RelayHandler(
    context: ServingContext,
    private val names: HeaderNames,
    private val delivery: Delivery,
    private val refusals: RefusalWriter,
) : RequestHandler {
    private val deployment = context.deployment
    private val log = context.log
    private val metrics = context.metrics
    private val clock = context.clock
    private val lag = context.lag

    @Suppress("TooGenericExceptionCaught") // Whatever fails, the caller has to learn whether the request has run.
    override suspend fun handle(request: CallerRequest, writer: ResponseWriter) {
        metrics.requests.increment()
        val id = RequestId(request.head.headers[names.caller.attemptId].orEmpty())
        var pending: PendingRequest? = null
        try {
            when (val routed = route(request, id)) {
                is RoutingResult.Refused -> refusals.write(writer, id, routed.refusal)
                is RoutingResult.Accepted -> {
                    pending = routed.pending
                    deliver(routed.pending, writer)
                }
            }
        } catch (cause: Throwable) {
            // Unless the caller has left, even a cancellation is a fault: it ended something else.
            currentCoroutineContext().ensureActive()
            answerFailed(id, pending, writer, cause)
        }
        val millis = clock.nowMillis() - request.receivedMillis
        metrics.latency.record(millis)
        log.write("request.ended", always = (writer.status ?: 0) >= FIRST_SERVER_ERROR) {
            put("request", id.value)
            put("status", writer.status)
            put("complete", writer.complete)
            put("millis", millis)
        }
    }

    /** Answers a request whose handling ended with an unexpected error, unless its response has begun. */
    private fun answerFailed(id: RequestId, pending: PendingRequest?, writer: ResponseWriter, cause: Throwable) {
        val sends = pending?.sendCount ?: 0
        val refusal = if (sends == 0) Refusal.InternalError else Refusal.OutcomeUnknown("unexpected error")
        // Before the log line, which may fail too.
        if (writer.status == null) refusals.write(writer, id, refusal)
        log.write("request.failed", always = true) {
            put("request", id.value)
            put("route", pending?.route?.name)
            put("sends", sends)
            put("cause", cause.shortTrace())
        }
    }

    private suspend fun deliver(pending: PendingRequest, writer: ResponseWriter) {
        try {
            delivery.deliver(pending, writer)
        } finally {
            if (!writer.complete) {
                log.write("request.unfinished") {
                    put("request", pending.id.value)
                    put("route", pending.route.name)
                    put("sends", pending.sendCount)
                    put("status", writer.status)
                }
            }
        }
    }

    private fun route(request: CallerRequest, id: RequestId): RoutingResult {
        val table = deployment.routes
        val route = table?.route(request.head.headers["Host"].orEmpty(), path(request.head.target))
        return when {
            table == null || !deployment.isKnown -> RoutingResult.Refused(Refusal.NoConfiguration)
            route == null -> RoutingResult.Refused(Refusal.NoRoute(table.configuration.version))
            id.value.isEmpty() || hasDuplicateField(request) -> RoutingResult.Refused(Refusal.Malformed)
            else -> admit(request, id, table, route)
        }
    }

    private fun admit(request: CallerRequest, id: RequestId, table: RouteTable, route: Route): RoutingResult {
        val keyRequired = table.configuration.organisations != null
        val organisation = if (keyRequired) organisation(request, table) else null
        val service = table.service(route, Random.nextDouble())
        return when {
            keyRequired && organisation == null && !route.isPublic ->
                RoutingResult.Refused(Refusal.UnknownKey(table.configuration.version))
            service == null -> RoutingResult.Refused(Refusal.NoConfiguration)
            lag.wouldExceed(route.firstByteWaitMillis(callerWaitMillis(request, route))) ->
                RoutingResult.Refused(Refusal.EventLoopBehind(lag.millis))
            else -> RoutingResult.Accepted(
                PendingRequest(
                    id = id,
                    request = request,
                    route = route,
                    service = service,
                    caller = Caller(organisation, keyRequired, callerWaitMillis(request, route)),
                    prompt = prompt(request),
                ),
            )
        }
    }

    private fun organisation(request: CallerRequest, table: RouteTable): Organisation? {
        val value = request.head.headers.all(names.caller.key).singleOrNull() ?: return null
        val scheme = value.substringBefore(' ')
        val key = value.substringAfter(' ', "").trim()
        return if (scheme.equals(names.caller.keyScheme, ignoreCase = true)) table.organisation(key) else null
    }

    private fun prompt(request: CallerRequest): PromptContext? {
        val headers = request.head.headers
        val model = headers[names.caller.model] ?: return null
        return PromptContext.parse(model, headers[names.caller.tokenUsage], headers[names.caller.promptParts])
    }

    private fun callerWaitMillis(request: CallerRequest, route: Route): Long {
        val stated = request.head.headers[names.caller.deadlineMillis]?.trim()?.toDoubleOrNull()
        return stated?.takeIf { it >= 0 }?.toLong() ?: route.timeoutMillis
    }

    /** Whether a field that describes the request occurs twice, so that the endpoint could read the other value. */
    private fun hasDuplicateField(request: CallerRequest): Boolean =
        listOf(names.caller.attemptId, names.caller.model, names.caller.deadlineMillis)
            .any { request.head.headers.all(it).size > 1 }

    private fun path(target: String): String {
        val path = if (target.startsWith("/")) {
            target
        } else {
            "/" + target.substringAfter("://", "").substringAfter('/', "")
        }
        return path.substringBefore('?')
    }

    private sealed interface RoutingResult {
        class Accepted(val pending: PendingRequest) : RoutingResult

        class Refused(val refusal: Refusal) : RoutingResult
    }

    private companion object {
        const val FIRST_SERVER_ERROR = 500
    }
}
