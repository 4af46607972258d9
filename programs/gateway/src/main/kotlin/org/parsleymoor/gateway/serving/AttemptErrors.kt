package org.parsleymoor.gateway.serving

import org.parsleymoor.clients.EndpointFailure
import org.parsleymoor.execution.AttemptError

/** The error that the retry rules see for this failure. */
internal val EndpointFailure.attemptError: AttemptError
    get() = when (this) {
        is EndpointFailure.NotConnected -> AttemptError.NOT_CONNECTED
        is EndpointFailure.Refused -> AttemptError.REFUSED
        is EndpointFailure.Silent -> AttemptError.SILENT
        is EndpointFailure.Broken, is EndpointFailure.Malformed -> AttemptError.BROKEN
    }
