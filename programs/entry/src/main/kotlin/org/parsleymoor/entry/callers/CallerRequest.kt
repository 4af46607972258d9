package org.parsleymoor.entry.callers

import org.parsleymoor.relay.http.RequestHead

/**
 * A request that has arrived whole, at [receivedMillis]: when it was read, less the time that the event loop was
 * behind, during which it may have waited unread.
 */
internal class CallerRequest(val head: RequestHead, val body: ByteArray, val receivedMillis: Long)

/** Serves the requests of callers. */
internal interface RequestHandler {
    /** Answers [request] through [answer]; suspends until the answer is written or given up. */
    suspend fun handle(request: CallerRequest, answer: ResponseWriter)
}
