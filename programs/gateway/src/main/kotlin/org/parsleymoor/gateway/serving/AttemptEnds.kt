package org.parsleymoor.gateway.serving

import org.parsleymoor.clients.EndpointFailure
import org.parsleymoor.execution.AttemptFailure

/** How an attempt with this failure ended, for the retry rules. */
internal val EndpointFailure.attemptEnd: AttemptFailure
    get() = when (this) {
        is EndpointFailure.NotConnected -> AttemptFailure.NOT_CONNECTED
        is EndpointFailure.Refused -> AttemptFailure.REFUSED
        is EndpointFailure.Silent -> AttemptFailure.SILENT
        is EndpointFailure.Broken, is EndpointFailure.Malformed -> AttemptFailure.BROKEN
    }
