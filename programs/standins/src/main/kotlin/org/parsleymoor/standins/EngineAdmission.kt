package org.parsleymoor.standins

import org.parsleymoor.clients.EngineRefusal
import org.parsleymoor.clients.EngineRefusalReason
import org.parsleymoor.clients.GenerateRequest

/** Says why [request] is refused, or null when the engine takes it. */
internal fun EngineState.refusalOf(request: GenerateRequest): EngineRefusal? = when {
    faults.refuseAll -> EngineRefusal(EngineRefusalReason.STOPPING, "expected a serving engine, found one that stops")
    isCold && requests >= settings.coldLimit -> EngineRefusal(
        EngineRefusalReason.COLD,
        "expected at most ${settings.coldLimit} requests in cold start, found ${requests + 1}",
        RETRY_AFTER_MILLIS,
    )
    !holds(request) -> EngineRefusal(
        EngineRefusalReason.VERSION_NOT_LOADED,
        "expected one of ${orders.versions.filterNot { it.loading }.joinToString { "${it.model} ${it.version}" }}, " +
            "found ${request.model} ${request.version}",
    )
    slots.queued >= settings.queueLength -> EngineRefusal(
        EngineRefusalReason.FULL,
        "expected at most ${settings.queueLength} queued requests, found ${slots.queued + 1}",
        RETRY_AFTER_MILLIS,
    )
    else -> null
}

private fun EngineState.holds(request: GenerateRequest): Boolean = orders.versions.isEmpty() ||
    orders.versions.any { it.model == request.model && it.version == request.version && !it.loading }

private const val RETRY_AFTER_MILLIS = 100L
