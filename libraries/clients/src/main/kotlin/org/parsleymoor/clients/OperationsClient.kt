package org.parsleymoor.clients

import com.github.michaelbull.result.Result
import org.parsleymoor.core.RequestId

/** Client of a gateway's operations port. */
public interface OperationsClient {
    /** Reads the gateway's current status. */
    public suspend fun status(): Result<GatewayStatus, EndpointFailure>

    /** Offers a configuration that is stored in the platform; one older than the configuration in effect is ignored. */
    public suspend fun offer(offer: ConfigurationOffer): Result<ConfigurationInEffect, EndpointFailure>

    /** Reads the steps of [request]; the list is empty if the gateway did not handle it. */
    public suspend fun history(request: RequestId): Result<RequestHistory, EndpointFailure>
}
