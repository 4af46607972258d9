package org.parsleymoor.entry.serving

import org.parsleymoor.entry.callers.CallerResponseHead
import org.parsleymoor.entry.net.CONNECTION_FIELDS
import org.parsleymoor.entry.protocol.HeaderNames
import org.parsleymoor.relay.http.HttpStatus
import org.parsleymoor.relay.http.ResponseHead

/** Whether the head proves that the response is the endpoint's and belongs to a request. */
internal fun ResponseHead.isSealed(names: HeaderNames): Boolean =
    headers[names.endpoint.seal] != null && headers[names.caller.attemptId] != null

/** Whether the endpoint says that it has not run the request. */
internal fun ResponseHead.isRefusal(names: HeaderNames): Boolean =
    headers[names.endpoint.notRun] != null || status == HttpStatus.MISDIRECTED.code

/** Whether this is a successful response that consists of server-sent events. */
internal val ResponseHead.isEventStream: Boolean
    get() = status in SUCCESS && headers["Content-Type"].orEmpty().startsWith("text/event-stream")

/** How long the sender keeps an idle connection open, or null when it does not say. */
internal val ResponseHead.keepAliveMillis: Long?
    get() = headers.tokens("Keep-Alive").firstOrNull { it.startsWith(TIMEOUT) }
        ?.removePrefix(TIMEOUT)?.toLongOrNull()?.let { it * MILLIS_PER_SECOND }

/** Returns the head for the caller, without what concerns the connection or the load of the endpoint. */
internal fun ResponseHead.toAnswer(names: HeaderNames): CallerResponseHead {
    val dropped = CONNECTION_FIELDS + names.endpoint.load.lowercase()
    return CallerResponseHead(status, reason, headers.filter { it.name.lowercase() !in dropped }.fields)
}

private const val TIMEOUT = "timeout="
private const val MILLIS_PER_SECOND = 1_000L
private const val FIRST_SUCCESS = 200
private const val LAST_SUCCESS = 299
private val SUCCESS = FIRST_SUCCESS..LAST_SUCCESS
