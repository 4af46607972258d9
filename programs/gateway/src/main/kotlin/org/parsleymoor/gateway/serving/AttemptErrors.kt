package org.parsleymoor.gateway.serving

import org.parsleymoor.clients.BackEndFailure
import org.parsleymoor.execution.AttemptError

/** The error that the retry rules see for this failure. */
internal val BackEndFailure.attemptError: AttemptError
    get() = when (this) {
        is BackEndFailure.NotConnected -> AttemptError.NOT_CONNECTED
        is BackEndFailure.Refused -> AttemptError.REFUSED
        is BackEndFailure.Silent -> AttemptError.SILENT
        is BackEndFailure.Broken, is BackEndFailure.Malformed -> AttemptError.BROKEN
    }
