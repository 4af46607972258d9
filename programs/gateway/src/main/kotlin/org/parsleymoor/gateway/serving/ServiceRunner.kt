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

/** A call to a service group, ready to be sent. */
internal class ServiceGroupCall(
    val request: RequestId,
    val group: ServiceDeclaration,
    val serviceCall: ServiceCall,
    val deadlineMillis: Long,
    val span: Span,
)

/** Sends calls to replicas of service groups and retries them as the retry rules allow. */
internal class ServiceRunner(private val dependencies: ServingDependencies) {
    private val runningCounts = ConcurrentHashMap<EndpointId, AtomicInteger>()

    /** Suspends until a replica has answered [call] or the retry rules allow no further attempt. */
    suspend fun run(call: ServiceGroupCall): Result<ServiceCallResponse, Refusal> {
        val tracker = AttemptTracker(
            call.request,
            call.serviceCall.repeatable,
            call.deadlineMillis,
            dependencies.retryBudget,
            dependencies.streams.maximumAttempts,
        )
        dependencies.retryBudget.firstAttempt(dependencies.clock.nowMillis())
        var failure: EndpointFailure? = null
        var action: AttemptAction = AttemptAction.TryElsewhere(emptySet())
        while (action !is AttemptAction.GiveUp) {
            val replica = chooseReplica(call.group, action)
            action = if (replica == null) {
                tracker.noEndpoint()
            } else {
                tracker.nextAttempt()
                failure = send(call, replica, timeoutMillis(call, action)).mapBoth({ return Ok(it) }, { it })
                afterFailure(tracker, replica, failure)
            }
        }
        return Err(refusal(action, failure))
    }

    private fun chooseReplica(group: ServiceDeclaration, action: AttemptAction): EndpointDeclaration? {
        val view = dependencies.configuration.current ?: return null
        val candidates = view.replicasOf(group.name)
        return when (action) {
            is AttemptAction.TryFreshConnection -> candidates.firstOrNull { it.name == action.endpoint }
            is AttemptAction.TryElsewhere ->
                candidates.filter { view.takesNewWork(it.name) && it.name !in action.avoid }.shuffled()
                    .minByOrNull { runningCount(it.name).get() }
            is AttemptAction.GiveUp -> null
        }
    }

    /**
     * Returns the timeout of the next attempt. A repeatable call waits until its deadline only on a fresh connection,
     * because a pooled connection may be dead without notice.
     */
    private fun timeoutMillis(call: ServiceGroupCall, action: AttemptAction): Long {
        val remaining = maxOf(1, call.deadlineMillis - dependencies.clock.nowMillis())
        val mayBePooled = call.serviceCall.repeatable && action !is AttemptAction.TryFreshConnection
        return if (mayBePooled) minOf(remaining, dependencies.streams.silenceMillis) else remaining
    }

    private suspend fun send(
        call: ServiceGroupCall,
        replica: EndpointDeclaration,
        timeoutMillis: Long,
    ): Result<ServiceCallResponse, EndpointFailure> {
        val span = dependencies.tracing.hop("call", replica.name.value, call.span)
        val traced = ServiceCall(
            call.serviceCall.method,
            call.serviceCall.path,
            call.serviceCall.headers + HeaderField("traceparent", dependencies.tracing.header(span)),
            call.serviceCall.body,
            call.serviceCall.repeatable,
        )
        dependencies.records.add(
            call.request,
            RequestStepKind.ATTEMPTED,
            replica.name.value,
            "${traced.method} ${traced.path}"
        )
        runningCount(replica.name).incrementAndGet()
        try {
            val result = dependencies.backEnds.service(replica).call(traced, timeoutMillis)
            return result.onFailure { failure ->
                span.fail(failure)
                dependencies.records.add(call.request, RequestStepKind.REFUSED, replica.name.value, failure.message)
            }
        } finally {
            runningCount(replica.name).decrementAndGet()
            span.end()
        }
    }

    private fun afterFailure(
        tracker: AttemptTracker,
        replica: EndpointDeclaration,
        failure: EndpointFailure,
    ): AttemptAction {
        val error = failure.attemptError
        val action = tracker.failed(replica.name, error, dependencies.clock.nowMillis())
        if (action !is AttemptAction.GiveUp) dependencies.metrics.retried(error.name.lowercase())
        return action
    }

    private fun refusal(action: AttemptAction.GiveUp, failure: EndpointFailure?): Refusal {
        val kind = when {
            action.execution != Execution.NotRun -> RefusalKind.OUTCOME_UNKNOWN
            action.cause == GiveUpCause.DEADLINE_PASSED -> RefusalKind.DEADLINE_PASSED
            else -> RefusalKind.NO_ENDPOINT
        }
        val detail = "${action.cause.name.lowercase()}: ${failure?.message ?: "no replica of the group is in service"}"
        return Refusal(kind, detail, action.execution, if (kind == RefusalKind.NO_ENDPOINT) RETRY_AFTER_MILLIS else 0)
    }

    private fun runningCount(replica: EndpointId): AtomicInteger =
        runningCounts.computeIfAbsent(replica) { AtomicInteger() }

    private companion object {
        const val RETRY_AFTER_MILLIS = 1_000L
    }
}
