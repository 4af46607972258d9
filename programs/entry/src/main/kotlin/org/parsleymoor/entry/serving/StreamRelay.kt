package org.parsleymoor.entry.serving

import kotlinx.coroutines.withTimeoutOrNull
import org.parsleymoor.core.Clock
import org.parsleymoor.entry.callers.CallerResponseHead
import org.parsleymoor.entry.callers.ResponseWriter
import org.parsleymoor.entry.net.EndpointConnection
import org.parsleymoor.entry.net.IncomingResponse
import org.parsleymoor.relay.http.BodyFraming
import org.parsleymoor.relay.http.BodyProgress
import org.parsleymoor.relay.stream.EventSplitter
import org.parsleymoor.relay.stream.StreamEvent

/** Relays the events of a stream as they arrive, each complete and exactly once. */
internal class StreamRelay(
    private val clock: Clock,
    private val pending: PendingRequest,
    private val connection: EndpointConnection,
    private val writer: ResponseWriter,
    private val progress: AttemptProgress,
) {
    private val splitter = EventSplitter()
    private var lastEventMillis = clock.nowMillis()

    /** Relays [response]. A stream resumed at another endpoint continues the response that was started with [head]. */
    suspend fun relay(response: IncomingResponse, head: CallerResponseHead): AttemptResult {
        var stalled = false
        while (!stalled && !eventTooLarge && response.decoder.progress == BodyProgress.INCOMPLETE) {
            val part = nextPart(response)
            stalled = part == null
            if (part != null) deliver(head, splitter.add(part).filter(::isNew))
        }
        return when {
            eventTooLarge -> AttemptResult.Uncertain("an event has more than $MAX_EVENT_BYTES bytes")
            stalled -> AttemptResult.Uncertain("the stream stalled")
            response.decoder.progress == BodyProgress.BROKEN -> AttemptResult.Uncertain("the stream was cut off")
            splitter.pendingBytes > 0 -> AttemptResult.Uncertain("the stream ended inside an event")
            response.framing == BodyFraming.UntilClose && progress.events == 0 ->
                AttemptResult.Uncertain("the connection ended before the first event")
            else -> end(head)
        }
    }

    private val eventTooLarge: Boolean get() = splitter.pendingBytes > MAX_EVENT_BYTES

    /**
     * Waits for more of the stream. Returns null at the deadline, or if neither this stream nor any other request of
     * this instance has received an event from the endpoint for a while. Bytes that complete no event do not count,
     * because a stalled stream may still send some.
     */
    private suspend fun nextPart(response: IncomingResponse): ByteArray? {
        val nowMillis = clock.nowMillis()
        val remaining = (pending.deadlineMillis - nowMillis).coerceAtLeast(1)
        val waitMillis =
            if (pending.route.resumable) minOf(remaining, lastEventMillis + STALL_MILLIS - nowMillis) else remaining
        val first = withTimeoutOrNull(waitMillis) { connection.readPart(response) }
        return if (first == null && waitMillis < remaining && progress.hasActivitySince(lastEventMillis + 1)) {
            withTimeoutOrNull(pending.deadlineMillis - clock.nowMillis()) { connection.readPart(response) }
        } else {
            first
        }
    }

    private suspend fun deliver(head: CallerResponseHead, events: List<StreamEvent>) {
        if (events.isEmpty()) return
        progress.recordEvents(events.size)
        if (events.any { it.id != null }) {
            lastEventMillis = clock.nowMillis()
            progress.recordActivity(lastEventMillis)
        }
        progress.prefillDone()
        if (!pending.streamStarted) {
            writer.startStream(head)
            pending.streamStarted = true
            pending.firstByteMillis = clock.nowMillis()
        }
        events.lastOrNull { it.id != null }?.let { pending.lastEventId = it.id }
        writer.writePart(events.map { it.bytes }.reduce(ByteArray::plus))
    }

    private fun end(head: CallerResponseHead): AttemptResult {
        progress.complete = true
        if (!pending.streamStarted) writer.startStream(head)
        writer.endStream()
        return AttemptResult.Delivered(head.status)
    }

    /**
     * Whether [event] has not been relayed yet. Ids increase, and an endpoint that resumes a stream may repeat events.
     */
    private fun isNew(event: StreamEvent): Boolean {
        val last = pending.lastEventId?.toLongOrNull()
        val id = event.id?.toLongOrNull()
        return !pending.streamStarted || last == null || id == null || id > last
    }

    private companion object {
        // Callers abandon a stream after a gap of two seconds, and resuming it elsewhere takes part of that time.
        const val STALL_MILLIS = 1_200L

        // Events hold a few tokens, so a larger one is taken to be endless.
        const val MAX_EVENT_BYTES = 262_144
    }
}
