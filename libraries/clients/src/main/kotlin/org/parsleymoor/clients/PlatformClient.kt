package org.parsleymoor.clients

import com.github.michaelbull.result.Result
import kotlinx.coroutines.flow.Flow
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.parsleymoor.core.Failure
import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.ZoneId

/** Client of the platform's object service and instance list. */
public interface PlatformClient {
    /** Reads an object, or null when there is none. */
    public suspend fun read(kind: String, name: String): Result<StoredObject?, PlatformFailure>

    /** Lists all objects of a kind with their values. */
    public suspend fun list(kind: String): Result<List<StoredObject>, PlatformFailure>

    /**
     * Writes [value] if the object's version is [expectedVersion] (0 if it must not exist) and returns the new version.
     * The object stores [writeId], so that a caller that lost the response can read back whether its write succeeded.
     */
    public suspend fun write(
        kind: String,
        name: String,
        value: String,
        expectedVersion: Long,
        writeId: String,
    ): Result<Long, PlatformFailure>

    /** Deletes an object if its version is [expectedVersion]. */
    public suspend fun delete(kind: String, name: String, expectedVersion: Long): Result<Unit, PlatformFailure>

    /**
     * Watches the objects of a kind for changes after [revision]. The flow fails with a
     * [org.parsleymoor.core.FailureException] if neither an event nor a heartbeat arrives within [silenceMillis].
     */
    public fun watch(kind: String, revision: Long, silenceMillis: Long = 3_000): Flow<WatchEvent>

    /** Reads the list of instances, which may be out of date. */
    public suspend fun instances(): Result<List<ListedInstance>, PlatformFailure>
}

/** An object in the platform's object service; [revision] is the platform-wide revision of its last change. */
@Serializable
public data class StoredObject(
    public val kind: String,
    public val name: String,
    public val version: Long,
    public val revision: Long,
    public val writeId: String,
    public val value: String,
)

/** An event of a watch. */
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

    /** Keep-alive: every change up to [revision] has been sent. */
    @Serializable
    @SerialName("heartbeat")
    public data class Heartbeat(public val revision: Long) : WatchEvent
}

/**
 * An entry of the platform's instance list. [peerAddress] and [operationsAddress] are the `host:port` of the gateway's
 * peer and operations ports; [operationsAddress] is empty if the platform does not list it.
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
    /** The object has another version; [current] is the stored object, or null if there is none. */
    public data class Conflict(
        public val expectedVersion: Long,
        public val current: StoredObject?,
    ) : PlatformFailure {
        override val message: String
            get() = "expected version $expectedVersion, found ${current?.version ?: 0}"
    }

    /** No usable response. If [mayHaveTakenEffect], the caller reads the object back to look for its write id. */
    public data class Unavailable(
        public val cause: String,
        public val mayHaveTakenEffect: Boolean,
    ) : PlatformFailure {
        override val message: String
            get() = "the platform's object service is unavailable: $cause"
    }

    /** The request or its response violates the protocol, for example a value over the size limit. */
    public data class Rejected(public val expected: String, public val found: String) : PlatformFailure {
        override val message: String get() = "expected $expected, found $found"
    }
}
