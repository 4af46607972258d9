package org.parsleymoor.entry.serving

import kotlinx.coroutines.withTimeoutOrNull
import org.parsleymoor.entry.callers.CallerResponseHead
import org.parsleymoor.entry.callers.ResponseWriter
import org.parsleymoor.entry.net.IncomingResponse
import org.parsleymoor.relay.http.BodyFraming
import org.parsleymoor.relay.http.BodyProgress
import org.parsleymoor.relay.http.MessageFailure
import org.parsleymoor.relay.stream.EventBatch
import org.parsleymoor.relay.stream.EventSplitter

/**
 * Relays the events of a stream as they arrive, each complete and exactly once. A stalled stream is resumed at another
 * endpoint and abandoned only when that has the next event: a sound endpoint may be silent for a second or more.
 */
internal class StreamRelay(
    private val context: AttemptContext,
    private val pending: PendingRequest,
    private val exchange: EndpointExchange,
    private val writer: ResponseWriter,
) {
    private val clock = context.clock
    private val connection = exchange.connection
    private val progress = exchange.progress
    private val splitter = EventSplitter()
    private val holder = context.held.newHolder()
    private val silenceMillis = pending.eventSilenceMillis
    private var lastEventMillis = clock.nowMillis()

    /** Relays [response]. A stream resumed at another endpoint continues the response that was started with [head]. */
    suspend fun relay(response: IncomingResponse, head: CallerResponseHead): AttemptResult = try {
        relayEvents(response, head)
    } finally {
        holder.release()
    }

    private suspend fun relayEvents(response: IncomingResponse, head: CallerResponseHead): AttemptResult {
        var stalled = false
        var oversized: AttemptResult? = null
        while (!stalled && oversized == null && response.decoder.progress == BodyProgress.INCOMPLETE) {
            val part = nextPart(response)
            // An endpoint that sends without end must not run past the deadline either.
            stalled = part == null || clock.nowMillis() >= pending.deadlineMillis
            if (part != null) deliver(head, splitter.add(part, ::isNew))
            oversized = oversizedResult()
        }
        return when {
            oversized != null -> oversized
            stalled -> AttemptResult.Uncertain("the stream stalled")
            response.decoder.progress == BodyProgress.BROKEN -> AttemptResult.Uncertain("the stream was cut off")
            splitter.pendingBytes > 0 -> AttemptResult.Uncertain("the stream ended inside an event")
            response.framing == BodyFraming.UntilClose && progress.events == 0 ->
                AttemptResult.Uncertain("the connection ended before the first event")
            else -> end(head)
        }
    }

    /** The result if too much has arrived since the last event or this instance has no room for it, otherwise null. */
    private fun oversizedResult(): AttemptResult? {
        val fault = when {
            splitter.pendingBytes > MAX_EVENT_BYTES -> MessageFailure.BODY_TOO_LARGE
            splitter.bytesSinceEvent > MAX_EVENT_BYTES -> MessageFailure.WITHOUT_EVENTS
            !holder.tryResize(splitter.heldBytes.toLong()) -> MessageFailure.NO_ROOM
            else -> return null
        }
        val reason = when (fault) {
            MessageFailure.BODY_TOO_LARGE -> "an event has more than $MAX_EVENT_BYTES bytes"
            MessageFailure.WITHOUT_EVENTS -> "the stream has more than $MAX_EVENT_BYTES bytes without an event"
            else -> fault.message
        }
        context.oversized.record(pending, progress.incarnation, fault, reason)
        return AttemptResult.Uncertain(reason)
    }

    /** Waits for more of the stream; returns null if none has arrived by the deadline. */
    private suspend fun nextPart(response: IncomingResponse): ByteArray? {
        var part: ByteArray? = null
        var ended = false
        while (part == null && !ended) {
            val nowMillis = clock.nowMillis()
            val remaining = (pending.deadlineMillis - nowMillis).coerceAtLeast(1)
            val patience = (lastEventMillis + silenceMillis - nowMillis).coerceAtLeast(SILENCE_POLL_MILLIS)
            if (isStalled(nowMillis)) exchange.handover.onSilence()
            part = withTimeoutOrNull(minOf(remaining, patience)) { connection.readPart(response) }
            ended = clock.nowMillis() >= pending.deadlineMillis
        }
        return part
    }

    /**
     * Whether neither this stream nor any other request of this instance has received an event from the endpoint for a
     * while. Bytes that complete no event do not count, because a stalled stream may still send some.
     */
    private fun isStalled(nowMillis: Long): Boolean = pending.route.resumable &&
        nowMillis - lastEventMillis >= silenceMillis && !progress.hasActivitySince(lastEventMillis + 1)

    private suspend fun deliver(head: CallerResponseHead, batch: EventBatch) {
        if (batch.bytes.isEmpty()) return
        if (batch.count > 0) {
            progress.recordEvents(batch.count)
            progress.prefillDone()
        }
        val progressed = batch.lastId != null
        if (progressed) progress.recordActivity(clock.nowMillis())
        if (progressed || !pending.streamStarted) exchange.handover.takeOver()
        if (!pending.streamStarted) {
            context.speeds.firstEvent(pending, exchange)
            writer.startStream(head)
            pending.streamStarted = true
            pending.firstByteMillis = clock.nowMillis()
        }
        batch.lastId?.let { pending.lastEventId = it }
        writer.writePart(batch.bytes)
        // Time in which the caller did not read is no silence of the endpoint.
        if (progressed) {
            lastEventMillis = clock.nowMillis()
            pending.lastEventMillis = lastEventMillis
        }
    }

    private suspend fun end(head: CallerResponseHead): AttemptResult {
        exchange.handover.takeOver()
        progress.complete = true
        if (!pending.streamStarted) writer.startStream(head)
        writer.writePart(splitter.takeKept())
        writer.endStream()
        return AttemptResult.Delivered(head.status)
    }

    /**
     * Whether the event with [id] has not been relayed yet. Ids increase, and an endpoint that resumes a stream may
     * repeat events.
     */
    private fun isNew(id: String?): Boolean {
        val last = pending.lastEventId?.toLongOrNull()
        val number = id?.toLongOrNull()
        return !pending.streamStarted || last == null || number == null || number > last
    }

    private companion object {
        // Events hold a few tokens, so a larger one is taken to be endless, and so are as many bytes without an event:
        // a comment every second for the longest time limit has a hundredth of that.
        const val MAX_EVENT_BYTES = 262_144
    }
}
