package org.parsleymoor.gateway.serving

import org.parsleymoor.clients.BackEndFailure
import org.parsleymoor.execution.AttemptFailure

/** How an attempt with this failure ended, for the retry rules. */
internal val BackEndFailure.attemptEnd: AttemptFailure
    get() = when (this) {
        is BackEndFailure.NotConnected -> AttemptFailure.NOT_CONNECTED
        is BackEndFailure.Refused -> AttemptFailure.REFUSED
        is BackEndFailure.Silent -> AttemptFailure.SILENT
        is BackEndFailure.Broken, is BackEndFailure.Malformed -> AttemptFailure.BROKEN
    }
