package org.parsleymoor.clients

import com.github.michaelbull.result.Result

/** A plain service (application replica) at one address. */
public interface ServiceClient {
    /**
     * Sends [call] and suspends until its answer, whatever its status, or until [timeoutMillis] have passed. A
     * [EndpointFailure.Refused] is a `503` problem document whose `execution` member is `not_run`.
     */
    public suspend fun call(
        call: ServiceCall,
        timeoutMillis: Long = DEFAULT_TIMEOUT_MILLIS,
    ): Result<ServiceCallResponse, EndpointFailure>

    public companion object {
        /** Time after which a call without an answer counts as silent. */
        public const val DEFAULT_TIMEOUT_MILLIS: Long = 30_000
    }
}

/** One header field. */
public data class HeaderField(public val name: String, public val value: String)

/**
 * A call to a plain service. [path] starts with a slash and holds the query. A call that is not [repeatable] gets a
 * connection of its own, because a pooled connection that the peer is closing makes the outcome unknown.
 */
public class ServiceCall(
    public val method: String,
    public val path: String,
    public val headers: List<HeaderField> = emptyList(),
    public val body: ByteArray = ByteArray(0),
    public val repeatable: Boolean = false,
)

/** The answer of a plain service. */
public class ServiceCallResponse(
    public val status: Int,
    public val headers: List<HeaderField>,
    public val body: ByteArray,
)
