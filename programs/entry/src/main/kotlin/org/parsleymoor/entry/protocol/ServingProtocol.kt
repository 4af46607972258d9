package org.parsleymoor.entry.protocol

import com.github.michaelbull.result.Result
import org.parsleymoor.core.Failure
import org.parsleymoor.core.ModelId
import org.parsleymoor.core.ZoneId
import org.parsleymoor.relay.cache.CacheStoreChange
import org.parsleymoor.relay.cache.CachedPart
import org.parsleymoor.relay.fleet.EndpointEntry
import org.parsleymoor.relay.http.HeaderFields
import org.parsleymoor.relay.release.ReleaseStatus
import org.parsleymoor.relay.release.StoredRelease
import org.parsleymoor.relay.routing.ServingConfiguration

/**
 * A request to the object store, an engine or a KV cache store; [target] is path and query. A response with a body of
 * more than [maxResponseBytes] is not read.
 */
public class ControlRequest(
    public val method: String,
    public val target: String,
    public val body: String? = null,
    public val headers: Map<String, String> = emptyMap(),
    public val maxResponseBytes: Long = MAX_RESPONSE_BYTES,
) {
    public companion object {
        /** Four times the largest object in the object store. */
        public const val MAX_RESPONSE_BYTES: Long = 4_194_304
    }
}

/** A message could not be decoded: [expected] was expected and [found] was read. */
public data class DecodeFailure(public val expected: String, public val found: String) : Failure {
    override val message: String get() = "expected $expected, found $found"
}

/** Collections of objects in the object store. */
public enum class ObjectKind { CONFIGURATION, ENDPOINTS, WEIGHTS, EVACUATIONS, RELEASES, LEASES, MEMBERS }

/**
 * An object in the store; [content] is its encoded form, which [ContentDecoder] decodes. [status] is the encoded form
 * of its status, or null without one, and [created] the revision of its creation, or 0 if that is not known.
 */
public data class StoredObject(
    public val name: String,
    public val revision: Long,
    public val content: String,
    public val status: String? = null,
    public val created: Long = 0,
)

/** An object in a response of the store that could not be decoded; [name] is null if that is unreadable too. */
public data class UnreadableObject(public val name: String?, public val cause: DecodeFailure)

/**
 * A page of a list as of [revision]; [after] is the cursor of the next page, or null on the last one. [unreadable] are
 * the objects that are missing from [items].
 */
public data class ObjectPage(
    public val items: List<StoredObject>,
    public val after: String?,
    public val revision: Long,
    public val unreadable: List<UnreadableObject> = emptyList(),
)

/** A change of an object; [removed] is true if the object was deleted. */
public data class ObjectChange(public val value: StoredObject, public val removed: Boolean)

/**
 * Changes of a collection up to [revision]. [unreadable] are changed objects that could not be decoded; one whose name
 * is known is removed in [changes].
 */
public data class ObjectChanges(
    public val changes: List<ObjectChange>,
    public val revision: Long,
    public val unreadable: List<UnreadableObject> = emptyList(),
)

/** Encodes requests to the object store and decodes its responses. */
public interface ObjectProtocol {
    /** Lists the objects of [kind] from cursor [after] on; with [allowStale] the list may be some seconds old. */
    public fun list(kind: ObjectKind, after: String?, allowStale: Boolean): ControlRequest

    /** Long poll: waits up to [waitMillis] for changes of [kind] after [revision]. */
    public fun watch(kind: ObjectKind, revision: Long, waitMillis: Long): ControlRequest

    /** Reads one object. */
    public fun read(kind: ObjectKind, name: String): ControlRequest

    /** Creates an object. */
    public fun create(kind: ObjectKind, name: String, content: String): ControlRequest

    /** Replaces an object if it still has [revision], or unconditionally if that is null. */
    public fun replace(kind: ObjectKind, name: String, content: String, revision: Long?): ControlRequest

    /** Removes an object. */
    public fun remove(kind: ObjectKind, name: String): ControlRequest

    /** Decodes the era of the store from the [headers] of any response; 0 when it states none. */
    public fun era(headers: HeaderFields): Result<Long, DecodeFailure>

    /** Decodes a page of a list. */
    public fun page(body: String): Result<ObjectPage, DecodeFailure>

    /** Decodes the response to a watch. */
    public fun changes(body: String): Result<ObjectChanges, DecodeFailure>

    /** Decodes one object. */
    public fun stored(body: String): Result<StoredObject, DecodeFailure>
}

/** Decodes the objects that operators and endpoints write to the object store. */
public interface ContentDecoder {
    /** Decodes a configuration. */
    public fun configuration(content: String): Result<ServingConfiguration, DecodeFailure>

    /** Decodes the registration of the endpoint [name]. */
    public fun endpoint(name: String, content: String): Result<EndpointEntry, DecodeFailure>

    /** Decodes the version of the weights that operators have selected for a model. */
    public fun weights(content: String): Result<Pair<ModelId, Long>, DecodeFailure>

    /** Decodes the availability zone from the name of an evacuation object. */
    public fun evacuatedZone(name: String): ZoneId
}

/** Decodes the orders to move the traffic of services to other releases, and writes their status. */
public interface ReleaseProtocol {
    /** Decodes an order with its status. */
    public fun order(value: StoredObject): Result<StoredRelease, DecodeFailure>

    /** Replaces the status of the order for [service] if its object still has [revision]. */
    public fun replaceStatus(service: String, status: ReleaseStatus, revision: Long): ControlRequest
}

/**
 * State of an engine. [orders] is the number of orders accepted since its start, [decoding] the number of running
 * requests that have produced a token. Memory is counted in tokens. [clockMillis] is the clock shared by the engines.
 */
public data class EngineReport(
    public val orders: Long,
    public val busy: Boolean,
    public val weights: Map<ModelId, Long>,
    public val running: Int,
    public val waiting: Int,
    public val decoding: Int,
    public val memoryUsed: Long,
    public val memoryTotal: Long,
    public val clockMillis: Long? = null,
)

/**
 * An order to load [version] of [model] once running requests have finished. It is void if the engine has accepted more
 * than [afterOrders] orders since its start.
 */
public data class WeightOrder(
    public val model: ModelId,
    public val version: Long,
    public val holder: String,
    public val fencingToken: Long,
    public val afterOrders: Long,
)

/** Changes of a cache that started as [epoch]. The next ones are at [position]; [gap] is true if some are missing. */
public data class CacheEvents(
    public val epoch: Long,
    public val position: Long,
    public val gap: Boolean,
    public val changes: List<CacheStoreChange>,
)

/** Encodes requests to engines and KV cache stores and decodes their responses. */
public interface EngineProtocol {
    /** Requests the state of an engine. */
    public fun report(): ControlRequest

    /** Orders the endpoint [endpoint] to load weights. */
    public fun order(endpoint: String, order: WeightOrder): ControlRequest

    /** Long poll: waits up to [waitMillis] for cache events after [position]. */
    public fun events(position: Long, waitMillis: Long): ControlRequest

    /** Requests the complete contents of a cache. */
    public fun contents(): ControlRequest

    /** Evicts [parts] from a store, if its start is still [epoch]. */
    public fun free(parts: List<CachedPart>, epoch: Long): ControlRequest

    /** Decodes the state of an engine. */
    public fun report(body: String): Result<EngineReport, DecodeFailure>

    /** Decodes cache events. */
    public fun events(body: String): Result<CacheEvents, DecodeFailure>

    /** Decodes the complete contents of a cache. */
    public fun contents(body: String): Result<CacheEvents, DecodeFailure>
}

/** The protocol of a deployment. All names and formats specific to it are behind this interface. */
public interface ServingProtocol {
    public val headers: HeaderNames
    public val objects: ObjectProtocol
    public val content: ContentDecoder
    public val engines: EngineProtocol
    public val releases: ReleaseProtocol

    /** Path of the readiness probe. */
    public val readinessPath: String

    /** Returns the body of a refusal for [reason]. */
    public fun refusalBody(reason: String): String
}
