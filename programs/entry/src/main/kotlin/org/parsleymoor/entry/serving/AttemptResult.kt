package org.parsleymoor.entry.serving

import org.parsleymoor.entry.callers.CallerResponseHead
import org.parsleymoor.relay.http.HeldBody

/** How one attempt at an endpoint ended. */
internal sealed interface AttemptResult {
    /** Description for the log. */
    val outcome: String

    /** The complete response was relayed to the caller. */
    data class Delivered(val status: Int) : AttemptResult {
        override val outcome: String get() = "delivered $status"
    }

    /** The endpoint responded with a server error, which has not been relayed. */
    class Failed(val head: CallerResponseHead, val body: HeldBody) : AttemptResult {
        override val outcome: String get() = "endpoint responded with ${head.status}"
    }

    /** The endpoint has not run the request and will not. [sent] is false if the request was not written at all. */
    data class NotRun(val reason: String, val sent: Boolean) : AttemptResult {
        override val outcome: String get() = "not run: $reason"
    }

    /** The endpoint may have run the request. */
    data class Uncertain(val reason: String) : AttemptResult {
        override val outcome: String get() = "uncertain: $reason"
    }
}
