package org.parsleymoor.gateway.serving

import kotlinx.coroutines.withTimeoutOrNull
import org.parsleymoor.clients.ModelTraffic
import org.parsleymoor.clients.RequestStepKind
import org.parsleymoor.core.ModelId
import org.parsleymoor.gateway.callers.Refusal
import org.parsleymoor.gateway.callers.RefusalKind
import org.parsleymoor.limits.FairQueueLimits
import org.parsleymoor.limits.QueuedRequest
import java.util.concurrent.ConcurrentHashMap

/** Admits and runs completions. */
internal class CompletionRunner(
    private val dependencies: ServingDependencies,
    private val chooser: EngineChooser,
    private val imports: PrefixImporter,
) {
    private val gates = ConcurrentHashMap<ModelId, AdmissionGate>()

    /**
     * Runs [call] and sends its answer to [sink]. Suspends until the answer is complete; fails with a [Refusal]
     * otherwise. Cancellation also cancels the attempt at the engine.
     */
    suspend fun run(call: CompletionCall, sink: CompletionSink) {
        val gate = gate(call.model.name)
        gate.acquire(
            queuedRequest(call),
            FairQueueLimits(call.limits.queueLength, call.limits.queueLengthPerOrganisation),
        )
        try {
            dependencies.records.add(
                call.request,
                RequestStepKind.ADMITTED,
                call.model.name.value,
                "capacity is available",
            )
            val attempts = CompletionAttempts(dependencies, chooser, imports, call, sink)
            withTimeoutOrNull(call.deadlineMillis - dependencies.clock.nowMillis()) { attempts.run() }
                ?: throw deadlinePassed(call, attempts).toException()
        } finally {
            gate.release()
        }
    }

    /** Admits waiting requests for which capacity may have become available. */
    fun admitWaiting() {
        gates.values.forEach { it.admitWaiting() }
    }

    /** The numbers of running and waiting requests of each model. */
    fun traffic(): List<ModelTraffic> = gates.map { ModelTraffic(it.key, it.value.running, it.value.queued) }

    private fun gate(model: ModelId): AdmissionGate =
        gates.computeIfAbsent(model) { AdmissionGate(dependencies.clock) { chooser.capacity(model) } }

    private fun queuedRequest(call: CompletionCall) = QueuedRequest(
        request = call.request,
        organisation = call.organisation.name,
        tokens = (call.prompt.length / BYTES_PER_TOKEN + call.maximumTokens).toLong(),
        deadlineMillis = call.deadlineMillis,
        weight = call.organisation.weight,
        priority = call.organisation.priority,
    )

    private fun deadlinePassed(call: CompletionCall, attempts: CompletionAttempts) = Refusal(
        RefusalKind.DEADLINE_PASSED,
        "the answer was not complete within ${call.limits.requestDeadlineMillis} ms",
        attempts.execution,
    )

    private companion object {
        const val BYTES_PER_TOKEN = 4
    }
}
