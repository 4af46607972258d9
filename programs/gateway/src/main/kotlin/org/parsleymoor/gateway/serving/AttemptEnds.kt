package org.parsleymoor.gateway.serving

import org.parsleymoor.clients.BackEndFailure
import org.parsleymoor.execution.AttemptEnd

/** How an attempt with this failure ended, for the retry rules. */
internal val BackEndFailure.attemptEnd: AttemptEnd
    get() = when (this) {
        is BackEndFailure.NotConnected -> AttemptEnd.NOT_CONNECTED
        is BackEndFailure.Refused -> AttemptEnd.REFUSED
        is BackEndFailure.Silent -> AttemptEnd.SILENT
        is BackEndFailure.Broken, is BackEndFailure.Malformed -> AttemptEnd.BROKEN
    }
