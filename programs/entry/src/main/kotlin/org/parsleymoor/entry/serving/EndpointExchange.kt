package org.parsleymoor.entry.serving

import org.parsleymoor.entry.net.EndpointConnection

/**
 * One attempt at [target] over [connection]. While the endpoint is silent, [mayMove] says whether the request could be
 * sent to another endpoint now.
 */
internal class EndpointExchange(
    val target: Target,
    val connection: EndpointConnection,
    val progress: AttemptProgress,
    val mayMove: () -> Boolean,
)
