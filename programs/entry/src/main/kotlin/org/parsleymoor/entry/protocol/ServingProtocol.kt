package org.parsleymoor.entry.protocol

import com.github.michaelbull.result.Result
import org.parsleymoor.core.Failure
import org.parsleymoor.core.ModelId
import org.parsleymoor.core.ZoneId
import org.parsleymoor.relay.cache.CacheStoreChange
import org.parsleymoor.relay.cache.CachedPart
import org.parsleymoor.relay.fleet.EndpointEntry
import org.parsleymoor.relay.routing.ServingConfiguration

/** A request of the control plane; [target] is path and query. */
public class ControlCall(
    public val method: String,
    public val target: String,
    public val body: String? = null,
    public val headers: Map<String, String> = emptyMap(),
)

/** A message of another party could not be read as [expected]. */
public data class DecodeFailure(public val expected: String, public val found: String) : Failure {
    override val message: String get() = "expected $expected, found $found"
}

/** Collections of the object store. */
public enum class ObjectKind { CONFIGURATION, ENDPOINTS, WEIGHTS, EVACUATIONS, LEASES, MEMBERS }

/** An object of the store; [content] is its text, which the protocol decodes. */
public data class StoredObject(
    public val name: String,
    public val revision: Long,
    public val content: String,
)

/** One page of a list; [after] continues it, or is null at the end. The list is as of [revision]. */
public data class ObjectPage(public val items: List<StoredObject>, public val after: String?, public val revision: Long)

/** A change of an object; [removed] when it no longer exists. */
public data class ObjectChange(public val value: StoredObject, public val removed: Boolean)

/** Changes up to [revision]. */
public data class ObjectChanges(public val changes: List<ObjectChange>, public val revision: Long)

/** Calls to the object store and their responses. */
public interface ObjectProtocol {
    /** Lists [kind]; [inexpensive] reads may be seconds old. */
    public fun list(kind: ObjectKind, after: String?, inexpensive: Boolean): ControlCall

    /** Waits up to [waitMillis] for changes of [kind] after [revision]. */
    public fun watch(kind: ObjectKind, revision: Long, waitMillis: Long): ControlCall

    /** Reads one object. */
    public fun read(kind: ObjectKind, name: String): ControlCall

    /** Creates an object. */
    public fun create(kind: ObjectKind, name: String, content: String): ControlCall

    /** Replaces an object when its revision is [revision]; with null, whatever it is. */
    public fun replace(kind: ObjectKind, name: String, content: String, revision: Long?): ControlCall

    /** Removes an object. */
    public fun remove(kind: ObjectKind, name: String): ControlCall

    /** Decodes a page of a list. */
    public fun page(body: String): Result<ObjectPage, DecodeFailure>

    /** Decodes the response of a watch. */
    public fun changes(body: String): Result<ObjectChanges, DecodeFailure>

    /** Decodes one object. */
    public fun stored(body: String): Result<StoredObject, DecodeFailure>
}

/** Decoders of what operators and endpoints write to the object store. */
public interface ContentDecoder {
    /** Decodes a configuration. */
    public fun configuration(content: String): Result<ServingConfiguration, DecodeFailure>

    /** Decodes what the endpoint [name] says of itself. */
    public fun endpoint(name: String, content: String): Result<EndpointEntry, DecodeFailure>

    /** Decodes the version that operators name for a model. */
    public fun weights(content: String): Result<Pair<ModelId, Long>, DecodeFailure>

    /** Decodes the name of an evacuation. */
    public fun evacuatedZone(name: String): ZoneId
}

/**
 * State of an engine. [orders] is the number of orders that it has accepted since its start, [producing] the number of
 * running requests that have made a token. Memory is counted in tokens. [clockMillis] is the clock that engines share.
 */
public data class EngineReport(
    public val orders: Long,
    public val busy: Boolean,
    public val weights: Map<ModelId, Long>,
    public val running: Int,
    public val waiting: Int,
    public val producing: Int,
    public val memoryUsed: Long,
    public val memoryTotal: Long,
    public val clockMillis: Long? = null,
)

/** An order to load [version] of [model]; runs finish first. It is void once the engine has accepted another order. */
public data class WeightOrder(
    public val model: ModelId,
    public val version: Long,
    public val holder: String,
    public val fencingToken: Long,
    public val afterOrders: Long,
)

/** Events of a cache since a position; [gap] when some are missing. */
public data class CacheEvents(
    public val epoch: Long,
    public val position: Long,
    public val gap: Boolean,
    public val changes: List<CacheStoreChange>,
)

/** Calls to engines and KV cache stores. */
public interface EngineProtocol {
    /** Asks for the state of an engine. */
    public fun report(): ControlCall

    /** Orders the endpoint [endpoint] to load weights. */
    public fun order(endpoint: String, order: WeightOrder): ControlCall

    /** Waits up to [waitMillis] for cache events after [position]. */
    public fun events(position: Long, waitMillis: Long): ControlCall

    /** Asks for all that a cache holds. */
    public fun contents(): ControlCall

    /** Frees [parts] of a store that started as [epoch]. */
    public fun free(parts: List<CachedPart>, epoch: Long): ControlCall

    /** Decodes the state of an engine. */
    public fun report(body: String): Result<EngineReport, DecodeFailure>

    /** Decodes events. */
    public fun events(body: String): Result<CacheEvents, DecodeFailure>

    /** Decodes all that a cache holds. */
    public fun contents(body: String): Result<CacheEvents, DecodeFailure>
}

/** The protocol of one deployment. Everything that depends on its names is behind this interface. */
public interface ServingProtocol {
    public val headers: HeaderNames
    public val objects: ObjectProtocol
    public val content: ContentDecoder
    public val engines: EngineProtocol

    /** Path of the readiness question. */
    public val readinessPath: String

    /** Body of a refusal for [reason]. */
    public fun refusalBody(reason: String): String
}
