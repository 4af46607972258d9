package org.parsleymoor.clients

import com.github.michaelbull.result.Result
import kotlinx.coroutines.flow.Flow
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.parsleymoor.core.Failure
import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.ZoneId

/** The platform's object service and instance list. Every function suspends until an answer or [PlatformFailure]. */
public interface PlatformClient {
    /** Reads an object, or null when there is none. */
    public suspend fun read(kind: String, name: String): Result<StoredObject?, PlatformFailure>

    /** Lists all objects of a kind with their values. */
    public suspend fun list(kind: String): Result<List<StoredObject>, PlatformFailure>

    /**
     * Writes [value] when the object's version is [expectedVersion] (0: it does not exist) and returns its new
     * version. [writeId] is kept with the object, so that a write whose answer was lost is recognised on reading back.
     */
    public suspend fun write(
        kind: String,
        name: String,
        value: String,
        expectedVersion: Long,
        writeId: String,
    ): Result<Long, PlatformFailure>

    /** Deletes an object when its version is [expectedVersion]. */
    public suspend fun delete(kind: String, name: String, expectedVersion: Long): Result<Unit, PlatformFailure>

    /**
     * Watches a kind for changes after [revision]. Heartbeats arrive as [WatchEvent.Heartbeat]; the flow fails with a
     * [org.parsleymoor.core.FailureException] when nothing arrives for [silenceMillis].
     */
    public fun watch(kind: String, revision: Long, silenceMillis: Long = 3_000): Flow<WatchEvent>

    /** Reads the list of instances, which lags behind what runs. */
    public suspend fun instances(): Result<List<ListedInstance>, PlatformFailure>
}

/** An object of the platform; [revision] is the platform-wide revision of its last change. */
@Serializable
public data class StoredObject(
    public val kind: String,
    public val name: String,
    public val version: Long,
    public val revision: Long,
    public val writeId: String,
    public val value: String,
)

/** What a watch reports. */
@Serializable
public sealed interface WatchEvent {
    /** An object was created or changed. */
    @Serializable
    @SerialName("changed")
    public data class Changed(public val stored: StoredObject) : WatchEvent

    /** An object was deleted at [revision]. */
    @Serializable
    @SerialName("deleted")
    public data class Deleted(public val kind: String, public val name: String, public val revision: Long) : WatchEvent

    /** Nothing changed; the watch is alive and complete up to [revision]. */
    @Serializable
    @SerialName("heartbeat")
    public data class Heartbeat(public val revision: Long) : WatchEvent
}

/**
 * An entry of the platform's instance list; [peerAddress] is `host:port` of the gateway's peer socket and
 * [operationsAddress] that of its operations port, empty when the platform does not list it.
 */
@Serializable
public data class ListedInstance(
    public val instance: InstanceId,
    public val zone: ZoneId,
    public val peerAddress: String,
    public val leaving: Boolean = false,
    public val operationsAddress: String = "",
)

/** Why a call to the platform failed. */
public sealed interface PlatformFailure : Failure {
    /** The object has another version; [current] is what is there now, null when there is no object. */
    public data class Conflict(
        public val expectedVersion: Long,
        public val current: StoredObject?,
    ) : PlatformFailure {
        override val message: String
            get() = "expected version $expectedVersion, found ${current?.version ?: 0}"
    }

    /** No answer. When [mayHaveTakenEffect], the caller reads back by its write id before it goes on. */
    public data class Unavailable(
        public val cause: String,
        public val mayHaveTakenEffect: Boolean,
    ) : PlatformFailure {
        override val message: String
            get() = "the platform's object service did not answer: $cause"
    }

    /** The call or its answer does not follow the protocol, for example a value over one megabyte. */
    public data class Rejected(public val expected: String, public val found: String) : PlatformFailure {
        override val message: String get() = "expected $expected, found $found"
    }
}
