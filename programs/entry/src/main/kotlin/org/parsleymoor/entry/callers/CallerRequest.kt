package org.parsleymoor.entry.callers

import org.parsleymoor.relay.http.HeldBody
import org.parsleymoor.relay.http.RequestHead

/**
 * A complete request. [receivedMillis] is when it was read minus the lag of the event loop, because it may have waited
 * unread that long.
 */
internal class CallerRequest(val head: RequestHead, val body: HeldBody, val receivedMillis: Long)

/** Handles the requests of callers. */
internal interface RequestHandler {
    /** Responds to [request] through [writer]; suspends until the response is written or aborted. */
    suspend fun handle(request: CallerRequest, writer: ResponseWriter)
}
