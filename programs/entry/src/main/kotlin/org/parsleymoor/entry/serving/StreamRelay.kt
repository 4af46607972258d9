package org.parsleymoor.entry.serving

import kotlinx.coroutines.withTimeoutOrNull
import org.parsleymoor.core.Clock
import org.parsleymoor.entry.callers.AnswerHead
import org.parsleymoor.entry.callers.CallerAnswer
import org.parsleymoor.entry.net.EndpointConnection
import org.parsleymoor.entry.net.IncomingResponse
import org.parsleymoor.relay.http.BodyProgress
import org.parsleymoor.relay.stream.EventSplitter
import org.parsleymoor.relay.stream.StreamEvent

/** Passes the events of a stream on as they arrive, each whole and once. */
internal class StreamRelay(private val clock: Clock) {
    /** Relays [response] to [answer]; a stream that goes on after a break continues the same answer. */
    suspend fun relay(
        work: Work,
        connection: EndpointConnection,
        response: IncomingResponse,
        answer: CallerAnswer,
        head: AnswerHead,
        progress: Attempts.Progress,
    ): AttemptResult {
        val splitter = EventSplitter()
        while (true) {
            val part = nextPart(work, connection, response, progress)
                ?: return AttemptResult.Uncertain("the stream fell silent")
            val events = splitter.add(part).filter { isNew(work, it) }
            if (events.isNotEmpty()) {
                progress.read()
                deliver(work, answer, head, events)
            }
            when (response.decoder.progress) {
                BodyProgress.INCOMPLETE -> Unit
                BodyProgress.BROKEN -> return AttemptResult.Uncertain("the stream broke off")
                BodyProgress.COMPLETE -> return end(work, answer, head, splitter, progress)
            }
        }
    }

    /** Waits for more of the stream; returns null at the time limit, or when the endpoint answers nobody any more. */
    private suspend fun nextPart(
        work: Work,
        connection: EndpointConnection,
        response: IncomingResponse,
        progress: Attempts.Progress,
    ): ByteArray? {
        val remaining = (work.limitMillis - clock.nowMillis()).coerceAtLeast(1)
        val startMillis = clock.nowMillis()
        val stall = if (work.route.resumable) minOf(remaining, STALL_MILLIS) else remaining
        val first = withTimeoutOrNull(stall) { connection.readPart(response) }
        val endpointAnswers = progress.answeredSince(startMillis)
        val part = if (first == null && endpointAnswers && stall < remaining) {
            withTimeoutOrNull(remaining - stall) { connection.readPart(response) }
        } else {
            first
        }
        if (part != null) progress.answered(clock.nowMillis())
        return part
    }

    private fun end(
        work: Work,
        answer: CallerAnswer,
        head: AnswerHead,
        splitter: EventSplitter,
        progress: Attempts.Progress,
    ): AttemptResult {
        if (splitter.pendingBytes > 0) return AttemptResult.Uncertain("the stream ended inside an event")
        progress.complete = true
        if (!work.started) answer.startStream(head)
        answer.endStream()
        return AttemptResult.Delivered(head.status)
    }

    private suspend fun deliver(work: Work, answer: CallerAnswer, head: AnswerHead, events: List<StreamEvent>) {
        if (!work.started) {
            answer.startStream(head)
            work.started = true
            work.firstByteMillis = clock.nowMillis()
        }
        events.lastOrNull { it.id != null }?.let { work.lastEventId = it.id }
        answer.part(events.map { it.bytes }.reduce(ByteArray::plus))
    }

    /** Whether the caller lacks [event]: ids increase, and an endpoint that resumes a stream may repeat some. */
    private fun isNew(work: Work, event: StreamEvent): Boolean {
        val last = work.lastEventId?.toLongOrNull() ?: return true
        val id = event.id?.toLongOrNull() ?: return true
        return !work.started || id > last
    }

    private companion object {
        // Callers give a stream up after a gap of two seconds; a resumed one needs some of that for itself.
        const val STALL_MILLIS = 1_200L
    }
}
