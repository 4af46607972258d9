package org.parsleymoor.entry.serving

import kotlinx.coroutines.withTimeoutOrNull
import org.parsleymoor.core.Clock
import org.parsleymoor.entry.callers.CallerResponseHead
import org.parsleymoor.entry.callers.ResponseWriter
import org.parsleymoor.entry.net.EndpointConnection
import org.parsleymoor.entry.net.IncomingResponse
import org.parsleymoor.relay.http.BodyProgress
import org.parsleymoor.relay.stream.EventSplitter
import org.parsleymoor.relay.stream.StreamEvent

/** Passes the events of a stream on as they arrive, each whole and once. */
internal class StreamRelay(
    private val clock: Clock,
    private val pending: PendingRequest,
    private val connection: EndpointConnection,
    private val answer: ResponseWriter,
    private val progress: AttemptProgress,
) {
    private val splitter = EventSplitter()
    private var eventMillis = clock.nowMillis()

    /** Relays [response]; a stream that goes on after a break continues the same answer, with its first [head]. */
    suspend fun relay(response: IncomingResponse, head: CallerResponseHead): AttemptResult {
        var silent = false
        while (!silent && !endless && response.decoder.progress == BodyProgress.INCOMPLETE) {
            val part = nextPart(response)
            silent = part == null
            if (part != null) deliver(head, splitter.add(part).filter(::isNew))
        }
        return when {
            endless -> AttemptResult.Uncertain("an event has more than $EVENT_LIMIT_BYTES bytes")
            silent -> AttemptResult.Uncertain("the stream fell silent")
            response.decoder.progress == BodyProgress.BROKEN -> AttemptResult.Uncertain("the stream broke off")
            splitter.pendingBytes > 0 -> AttemptResult.Uncertain("the stream ended inside an event")
            else -> end(head)
        }
    }

    private val endless: Boolean get() = splitter.pendingBytes > EVENT_LIMIT_BYTES

    /**
     * Waits for more of the stream; returns null at the time limit, or when no event has come for a while and the
     * endpoint sends nobody else any. Bytes that complete no event do not count: a stalled stream may send some.
     */
    private suspend fun nextPart(response: IncomingResponse): ByteArray? {
        val nowMillis = clock.nowMillis()
        val remaining = (pending.deadlineMillis - nowMillis).coerceAtLeast(1)
        val stall = if (pending.route.resumable) minOf(remaining, eventMillis + STALL_MILLIS - nowMillis) else remaining
        val first = withTimeoutOrNull(stall) { connection.readPart(response) }
        return if (first == null && stall < remaining && progress.answeredSince(eventMillis + 1)) {
            withTimeoutOrNull(pending.deadlineMillis - clock.nowMillis()) { connection.readPart(response) }
        } else {
            first
        }
    }

    private suspend fun deliver(head: CallerResponseHead, events: List<StreamEvent>) {
        if (events.isEmpty()) return
        if (events.any { it.id != null }) {
            eventMillis = clock.nowMillis()
            progress.answered(eventMillis)
        }
        progress.read()
        if (!pending.started) {
            answer.startStream(head)
            pending.started = true
            pending.firstByteMillis = clock.nowMillis()
        }
        events.lastOrNull { it.id != null }?.let { pending.lastEventId = it.id }
        answer.part(events.map { it.bytes }.reduce(ByteArray::plus))
    }

    private fun end(head: CallerResponseHead): AttemptResult {
        progress.complete = true
        if (!pending.started) answer.startStream(head)
        answer.endStream()
        return AttemptResult.Delivered(head.status)
    }

    /** Whether the caller lacks [event]: ids increase, and an endpoint that resumes a stream may repeat some. */
    private fun isNew(event: StreamEvent): Boolean {
        val last = pending.lastEventId?.toLongOrNull()
        val id = event.id?.toLongOrNull()
        return !pending.started || last == null || id == null || id > last
    }

    private companion object {
        // Callers give a stream up after a gap of two seconds; a resumed one needs some of that for itself.
        const val STALL_MILLIS = 1_200L

        // An event holds a few tokens; one that grows beyond this has no end.
        const val EVENT_LIMIT_BYTES = 262_144
    }
}
