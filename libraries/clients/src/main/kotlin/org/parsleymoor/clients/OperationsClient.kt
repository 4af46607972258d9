package org.parsleymoor.clients

import com.github.michaelbull.result.Result
import org.parsleymoor.core.RequestId

/** A gateway's operations port. Every function suspends until an answer or a [EndpointFailure]. */
public interface OperationsClient {
    /** Reads the live status. */
    public suspend fun status(): Result<GatewayStatus, EndpointFailure>

    /** Offers a configuration that the platform has accepted; an older one than that in effect changes nothing. */
    public suspend fun offer(offer: ConfigurationOffer): Result<ConfigurationInEffect, EndpointFailure>

    /** Reads the steps of [request]; a gateway that did not see it answers with no steps. */
    public suspend fun history(request: RequestId): Result<RequestHistory, EndpointFailure>
}
