package org.parsleymoor.clients

import com.github.michaelbull.result.Result

/** Client of an application replica at one address. */
public interface ServiceClient {
    /**
     * Sends [call] and returns its response, whatever its status; times out after [timeoutMillis]. A `503` problem
     * document whose `execution` member is `not_run` is returned as [EndpointFailure.Refused].
     */
    public suspend fun call(
        call: ServiceCall,
        timeoutMillis: Long = DEFAULT_TIMEOUT_MILLIS,
    ): Result<ServiceCallResponse, EndpointFailure>

    public companion object {
        /** Default timeout of a call. */
        public const val DEFAULT_TIMEOUT_MILLIS: Long = 30_000
    }
}

/** An HTTP header field. */
public data class HeaderField(public val name: String, public val value: String)

/**
 * A call to an application replica. [path] starts with a slash and includes the query. A call that is not [repeatable]
 * uses a new connection: if the server closes a pooled connection during the call, the outcome is unknown.
 */
public class ServiceCall(
    public val method: String,
    public val path: String,
    public val headers: List<HeaderField> = emptyList(),
    public val body: ByteArray = ByteArray(0),
    public val repeatable: Boolean = false,
)

/** The response of an application replica. */
public class ServiceCallResponse(
    public val status: Int,
    public val headers: List<HeaderField>,
    public val body: ByteArray,
)
