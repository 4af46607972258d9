package org.parsleymoor.entry.serving

import org.parsleymoor.entry.callers.CallerResponseHead

/** How one attempt at an endpoint ended. */
internal sealed interface AttemptResult {
    /** What is written to the log. */
    val outcome: String

    /** The caller has the whole answer. */
    data class Delivered(val status: Int) : AttemptResult {
        override val outcome: String get() = "delivered $status"
    }

    /** The endpoint answered with a failure of its own, which has not been delivered. */
    class Failed(val head: CallerResponseHead, val body: ByteArray) : AttemptResult {
        override val outcome: String get() = "endpoint answered ${head.status}"
    }

    /** The endpoint has not run the request and will not. [sent] is false when no byte was written. */
    data class NotRun(val reason: String, val sent: Boolean) : AttemptResult {
        override val outcome: String get() = "not run: $reason"
    }

    /** The endpoint may have run the request. */
    data class Uncertain(val reason: String) : AttemptResult {
        override val outcome: String get() = "uncertain: $reason"
    }
}
