package org.parsleymoor.entry.serving

import kotlinx.serialization.json.put
import org.parsleymoor.core.RequestId
import org.parsleymoor.entry.callers.CallerRequest
import org.parsleymoor.entry.callers.RequestHandler
import org.parsleymoor.entry.callers.ResponseWriter
import org.parsleymoor.entry.protocol.HeaderNames
import org.parsleymoor.relay.prompt.PromptContext
import org.parsleymoor.relay.routing.Organisation
import org.parsleymoor.relay.routing.Route
import org.parsleymoor.relay.routing.RouteTable
import kotlin.random.Random

/** Finds out what a caller's request is and where it belongs, and hands it to [delivery]. */
internal class RelayHandler(
    context: ServingContext,
    private val names: HeaderNames,
    private val delivery: Delivery,
    private val refusals: RefusalWriter,
    private val stopping: ShutdownState,
) : RequestHandler {
    private val deployment = context.deployment
    private val log = context.log
    private val metrics = context.metrics
    private val clock = context.clock
    private val lag = context.lag

    override suspend fun handle(request: CallerRequest, answer: ResponseWriter) {
        metrics.requests.increment()
        val id = RequestId(request.head.headers[names.caller.attemptId].orEmpty())
        when (val routed = route(request, id)) {
            is Routed.Refused -> refusals.answer(answer, id, routed.refusal)
            is Routed.To -> deliver(routed.pending, answer)
        }
        val millis = clock.nowMillis() - request.receivedMillis
        metrics.latency.record(millis)
        log.write("request.ended", always = (answer.status ?: 0) >= SERVER_ERRORS) {
            put("request", id.value)
            put("status", answer.status)
            put("complete", answer.complete)
            put("millis", millis)
        }
    }

    private suspend fun deliver(pending: PendingRequest, answer: ResponseWriter) {
        try {
            delivery.deliver(pending, answer)
        } finally {
            if (!answer.complete) {
                log.write("request.unfinished") {
                    put("request", pending.id.value)
                    put("route", pending.route.name)
                    put("sends", pending.sendCount)
                    put("status", answer.status)
                }
            }
        }
    }

    private fun route(request: CallerRequest, id: RequestId): Routed {
        val table = deployment.routes
        val route = table?.route(request.head.headers["Host"].orEmpty(), path(request.head.target))
        return when {
            table == null || !deployment.endpointsKnown -> Routed.Refused(Refusal.NoConfiguration)
            route != null && stopping.tooLateFor(route.kind) -> Routed.Refused(Refusal.Stopping)
            route == null -> Routed.Refused(Refusal.NoRoute(table.configuration.version))
            id.value.isEmpty() || duplicated(request) -> Routed.Refused(Refusal.Malformed)
            else -> authorise(request, id, table, route)
        }
    }

    private fun authorise(request: CallerRequest, id: RequestId, table: RouteTable, route: Route): Routed {
        val keyRequired = table.configuration.organisations != null
        val organisation = if (keyRequired) organisation(request, table) else null
        val service = table.service(route, Random.nextDouble())
        return when {
            keyRequired && organisation == null && !route.isPublic ->
                Routed.Refused(Refusal.UnknownKey(table.configuration.version))
            service == null -> Routed.Refused(Refusal.NoConfiguration)
            lag.wouldExceed(route.firstByteWaitMillis(callerMillis(request, route))) ->
                Routed.Refused(Refusal.EventLoopBehind(lag.millis))
            else -> Routed.To(
                PendingRequest(
                    id = id,
                    request = request,
                    route = route,
                    service = service,
                    caller = Caller(organisation, keyRequired, callerMillis(request, route)),
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

    private fun callerMillis(request: CallerRequest, route: Route): Long {
        val stated = request.head.headers[names.caller.deadlineMillis]?.trim()?.toDoubleOrNull()
        return stated?.takeIf { it >= 0 }?.toLong() ?: route.timeoutMillis
    }

    /** Whether a field that identifies the request is given twice, so that the endpoint could read another value. */
    private fun duplicated(request: CallerRequest): Boolean =
        listOf(names.caller.attemptId, names.caller.model, names.caller.deadlineMillis)
            .any { request.head.headers.all(it).size > 1 }

    private fun path(target: String): String {
        val path = if (target.startsWith(
                "/"
            )
        ) {
            target
        } else {
            "/" + target.substringAfter("://", "").substringAfter('/', "")
        }
        return path.substringBefore('?')
    }

    private sealed interface Routed {
        class To(val pending: PendingRequest) : Routed

        class Refused(val refusal: Refusal) : Routed
    }

    private companion object {
        const val SERVER_ERRORS = 500
    }
}
