package org.parsleymoor.gateway.serving

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.mapBoth
import com.github.michaelbull.result.onFailure
import io.opentelemetry.api.trace.Span
import org.parsleymoor.clients.EndpointFailure
import org.parsleymoor.clients.HeaderField
import org.parsleymoor.clients.RequestStepKind
import org.parsleymoor.clients.ServiceCall
import org.parsleymoor.clients.ServiceCallResponse
import org.parsleymoor.configuration.EndpointDeclaration
import org.parsleymoor.configuration.ServiceDeclaration
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.RequestId
import org.parsleymoor.execution.AttemptAction
import org.parsleymoor.execution.AttemptTracker
import org.parsleymoor.execution.Execution
import org.parsleymoor.execution.GiveUpCause
import org.parsleymoor.gateway.callers.Refusal
import org.parsleymoor.gateway.callers.RefusalKind
import org.parsleymoor.gateway.operations.fail
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** A call for a service group that is ready to be sent. */
internal class GroupCall(
    val request: RequestId,
    val group: ServiceDeclaration,
    val call: ServiceCall,
    val deadlineMillis: Long,
    val span: Span,
)

/** Sends calls to the replicas of service groups under the retry rules. */
internal class ServiceRunner(private val tools: ServingTools) {
    private val running = ConcurrentHashMap<EndpointId, AtomicInteger>()

    /** Suspends until a replica has answered [call], or until the rules allow no further attempt. */
    suspend fun run(call: GroupCall): Result<ServiceCallResponse, Refusal> {
        val machine = AttemptTracker(
            call.request,
            call.call.repeatable,
            call.deadlineMillis,
            tools.budget,
            tools.streams.maximumAttempts,
        )
        tools.budget.firstAttempt(tools.clock.nowMillis())
        var failure: EndpointFailure? = null
        var action: AttemptAction = AttemptAction.TryElsewhere(emptySet())
        while (action !is AttemptAction.GiveUp) {
            val replica = replica(call.group, action)
            action = if (replica == null) {
                machine.noEndpoint()
            } else {
                machine.nextAttempt()
                failure = send(call, replica, timeoutMillis(call, action)).mapBoth({ return Ok(it) }, { it })
                afterFailure(machine, replica, failure)
            }
        }
        return Err(refusal(action, failure))
    }

    private fun replica(group: ServiceDeclaration, action: AttemptAction): EndpointDeclaration? {
        val view = tools.configuration.current ?: return null
        val candidates = view.replicasOf(group.name)
        return when (action) {
            is AttemptAction.TryFreshConnection -> candidates.firstOrNull { it.name == action.endpoint }
            is AttemptAction.TryElsewhere ->
                candidates.filter { view.takesNewWork(it.name) && it.name !in action.avoid }.shuffled()
                    .minByOrNull { count(it.name).get() }
            is AttemptAction.GiveUp -> null
        }
    }

    /** A pooled connection may have gone silent, so a repeatable call waits for the deadline on a fresh one only. */
    private fun timeoutMillis(call: GroupCall, action: AttemptAction): Long {
        val remaining = maxOf(1, call.deadlineMillis - tools.clock.nowMillis())
        val mayBePooled = call.call.repeatable && action !is AttemptAction.TryFreshConnection
        return if (mayBePooled) minOf(remaining, tools.streams.silenceMillis) else remaining
    }

    private suspend fun send(
        call: GroupCall,
        replica: EndpointDeclaration,
        timeoutMillis: Long,
    ): Result<ServiceCallResponse, EndpointFailure> {
        val span = tools.tracing.hop("call", replica.name.value, call.span)
        val traced = ServiceCall(
            call.call.method,
            call.call.path,
            call.call.headers + HeaderField("traceparent", tools.tracing.header(span)),
            call.call.body,
            call.call.repeatable,
        )
        tools.records.add(
            call.request,
            RequestStepKind.ATTEMPTED,
            replica.name.value,
            "${traced.method} ${traced.path}"
        )
        count(replica.name).incrementAndGet()
        try {
            val result = tools.backEnds.service(replica).call(traced, timeoutMillis)
            return result.onFailure { failure ->
                span.fail(failure)
                tools.records.add(call.request, RequestStepKind.REFUSED, replica.name.value, failure.message)
            }
        } finally {
            count(replica.name).decrementAndGet()
            span.end()
        }
    }

    private fun afterFailure(
        machine: AttemptTracker,
        replica: EndpointDeclaration,
        failure: EndpointFailure,
    ): AttemptAction {
        val end = failure.attemptEnd
        val action = machine.failed(replica.name, end, tools.clock.nowMillis())
        if (action !is AttemptAction.GiveUp) tools.metrics.retried(end.name.lowercase())
        return action
    }

    private fun refusal(action: AttemptAction.GiveUp, failure: EndpointFailure?): Refusal {
        val kind = when {
            action.execution != Execution.NotRun -> RefusalKind.OUTCOME_UNKNOWN
            action.cause == GiveUpCause.DEADLINE_PASSED -> RefusalKind.DEADLINE_PASSED
            else -> RefusalKind.NO_ENDPOINT
        }
        val detail = "${action.cause.name.lowercase()}: ${failure?.message ?: "no replica of the group is in service"}"
        return Refusal(kind, detail, action.execution, if (kind == RefusalKind.NO_ENDPOINT) RETRY_MILLIS else 0)
    }

    private fun count(replica: EndpointId): AtomicInteger = running.computeIfAbsent(replica) { AtomicInteger() }

    private companion object {
        const val RETRY_MILLIS = 1_000L
    }
}
