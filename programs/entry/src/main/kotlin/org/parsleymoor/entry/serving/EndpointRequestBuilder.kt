package org.parsleymoor.entry.serving

import org.parsleymoor.entry.net.CONNECTION_FIELDS
import org.parsleymoor.entry.net.headBytes
import org.parsleymoor.entry.protocol.HeaderNames
import org.parsleymoor.relay.cache.ContextKey
import org.parsleymoor.relay.fleet.EndpointState
import org.parsleymoor.relay.fleet.EngineLoad
import org.parsleymoor.relay.http.HeaderField
import org.parsleymoor.relay.http.HeaderFields
import org.parsleymoor.relay.placement.PlacementResult

/** Header field values that tell an engine where to fetch and save the parts of a prompt. */
internal data class CacheTransfer(
    val source: String? = null,
    val target: String? = null,
    /** Tokens to be fetched from stores that are known to hold them. */
    val fetchedTokens: Long = 0,
    /** Deadline of the fetch, on the engines' clock. */
    val fetchDeadlineMillis: Long? = null,
)

/** Number of [tokens] that an engine has to prefill for a prompt whose shared parts are identified by [context]. */
internal class PlannedPrefill(val tokens: Long, val context: ContextKey)

/** The [place] chosen for a send in [scope], and the weights, cache contents and prefill expected there. */
internal class Target(
    val place: PlacementResult.Selected,
    val scope: SendScope,
    val weights: Long? = null,
    val namespace: String? = null,
    val transfer: CacheTransfer = CacheTransfer(),
    val prefill: PlannedPrefill? = null,
) {
    val endpoint: EndpointState get() = place.endpoint
    val estimateMillis: Double get() = place.estimateMillis

    /** Load of the engine at the time it was chosen. */
    val load: EngineLoad? = endpoint.engineLoad
}

/** Builds the heads of requests to endpoints, dropping fields that callers must not set. */
internal class EndpointRequestBuilder(private val names: HeaderNames) {
    private val droppedFields = CONNECTION_FIELDS + names.system.all + names.caller.deadlineMillis.lowercase()

    private val protectedFields = with(names.caller) {
        listOf(attemptId, model, tokenUsage, promptParts, lastEventId).map { it.lowercase() }.toSet()
    }

    /** Returns the head for sending [pending] to [target], which has [remainingMillis] to respond. */
    fun head(pending: PendingRequest, target: Target, remainingMillis: Long): ByteArray {
        val head = pending.request.head
        val fields = ArrayList<HeaderField>(head.headers.fields.size + ADDED_FIELDS)
        fields += forwarded(head.headers, pending)
        fields += HeaderField(names.caller.deadlineMillis, remainingMillis.toString())
        fields += HeaderField(names.system.expectedEndpoint, target.endpoint.entry.id.value)
        pending.organisation?.let { fields += HeaderField(names.system.organisation, it.id.value) }
        pending.lastEventId?.let { fields += HeaderField(names.caller.lastEventId, it) }
        if (pending.prompt != null) fields += engineFields(pending, target)
        if (pending.request.body.size > 0 || head.method in METHODS_WITH_BODY) {
            fields += HeaderField("Content-Length", pending.request.body.size.toString())
        }
        return headBytes("${head.method} ${head.target} HTTP/1.1", fields)
    }

    private fun engineFields(pending: PendingRequest, target: Target): List<HeaderField> = listOfNotNull(
        HeaderField(names.system.urgency, pending.urgency.coerceIn(URGENCIES).toString()),
        target.weights?.let { HeaderField(names.system.expectedWeights, it.toString()) },
        target.namespace?.let { HeaderField(names.system.cacheNamespace, it) },
        target.transfer.source?.let { HeaderField(names.system.cacheSource, it) },
        target.transfer.target?.let { HeaderField(names.system.cacheTarget, it) },
        target.transfer.fetchDeadlineMillis?.let { HeaderField(names.system.cacheUntil, it.toString()) },
    )

    private fun forwarded(headers: HeaderFields, pending: PendingRequest): List<HeaderField> {
        // A caller must not be able to remove the fields that describe its request by listing them in Connection.
        val listed = headers.tokens("Connection").toSet() - protectedFields
        return headers.fields.filter { field ->
            val name = field.name.lowercase()
            name !in droppedFields && name !in listed && !isReplaced(name, pending)
        }
    }

    private fun isReplaced(name: String, pending: PendingRequest): Boolean = when (name) {
        names.caller.key.lowercase() -> pending.caller.keyRequired
        names.caller.lastEventId.lowercase() -> pending.lastEventId != null
        else -> false
    }

    private companion object {
        const val ADDED_FIELDS = 10
        val METHODS_WITH_BODY = setOf("POST", "PUT", "PATCH")
        val URGENCIES = 0..9
    }
}
