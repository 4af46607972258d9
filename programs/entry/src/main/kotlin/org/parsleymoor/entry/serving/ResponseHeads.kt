package org.parsleymoor.entry.serving

import org.parsleymoor.entry.callers.CallerResponseHead
import org.parsleymoor.entry.net.CONNECTION_FIELDS
import org.parsleymoor.entry.protocol.HeaderNames
import org.parsleymoor.relay.http.HttpStatus
import org.parsleymoor.relay.http.ResponseHead

/** Whether the head has the seal that shows the response comes from an endpoint, and the id of a request. */
internal fun ResponseHead.isSealed(names: HeaderNames): Boolean =
    headers[names.endpoint.seal] != null && headers[names.caller.attemptId] != null

/** Whether the endpoint states that it has not run the request. */
internal fun ResponseHead.isRefusal(names: HeaderNames): Boolean =
    headers[names.endpoint.notRun] != null || status == HttpStatus.MISDIRECTED.code

/** What the endpoint states about its leaving, or null if it does not leave. */
internal fun ResponseHead.leaving(names: HeaderNames): String? =
    headers[names.endpoint.leaving]?.takeIf { it.trim() != NOT_LEAVING }

/** The pause that the endpoint asks for as it refuses, as it stands in the response, or null if it asks for none. */
internal fun ResponseHead.pause(names: HeaderNames): String? =
    headers[names.endpoint.pause]?.takeIf { status == HttpStatus.UNAVAILABLE.code }

/** The limits that the endpoint names, as they stand in the response; empty if it names none. */
internal fun ResponseHead.limits(names: HeaderNames): List<String> = headers.all(names.endpoint.limit)

/** Whether this is a successful response whose body is a stream of server-sent events. */
internal val ResponseHead.isEventStream: Boolean
    get() = status in SUCCESS && headers["Content-Type"].orEmpty().startsWith("text/event-stream")

/** The idle timeout in the `Keep-Alive` field, or null without one. */
internal val ResponseHead.keepAliveMillis: Long?
    get() = headers.tokens("Keep-Alive").firstOrNull { it.startsWith(TIMEOUT) }
        ?.removePrefix(TIMEOUT)?.toLongOrNull()?.let { it * MILLIS_PER_SECOND }

/** Returns the head to relay, without the fields about the connection and the endpoint's load. */
internal fun ResponseHead.toCallerHead(names: HeaderNames): CallerResponseHead {
    val dropped = CONNECTION_FIELDS + names.endpoint.load.lowercase()
    return CallerResponseHead(status, reason, headers.filter { it.name.lowercase() !in dropped }.fields)
}

private const val NOT_LEAVING = "0"
private const val TIMEOUT = "timeout="
private const val MILLIS_PER_SECOND = 1_000L
private const val FIRST_SUCCESS = 200
private const val LAST_SUCCESS = 299
private val SUCCESS = FIRST_SUCCESS..LAST_SUCCESS
