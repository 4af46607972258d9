package org.parsleymoor.entry.serving

import org.parsleymoor.entry.net.EndpointConnection

/**
 * One attempt at [target] over [connection]. [handover] moves the request to another endpoint while it is silent.
 * [endpointDone] is called when the endpoint has nothing more to do, however long the caller takes to read.
 */
internal class EndpointExchange(
    val target: Target,
    val connection: EndpointConnection,
    val progress: AttemptProgress,
    val handover: Handover,
    val endpointDone: () -> Unit = {},
)
