package org.parsleymoor.entry.callers

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import io.vertx.core.buffer.Buffer
import io.vertx.core.net.NetSocket
import kotlinx.coroutines.withTimeoutOrNull
import org.parsleymoor.core.Clock
import org.parsleymoor.entry.net.SocketInput
import org.parsleymoor.entry.net.readBody
import org.parsleymoor.entry.net.readHead
import org.parsleymoor.relay.http.MessageFailure
import org.parsleymoor.relay.http.RequestHead
import org.parsleymoor.relay.http.framing
import org.parsleymoor.relay.http.parseRequestHead
import org.parsleymoor.relay.routing.CallerLimits

/** What the connections of a server share. */
internal class CallerContext(
    val clock: Clock,
    val handler: RequestHandler,
    val limits: () -> CallerLimits,
    val stopping: () -> Boolean,
    val onFault: (MessageFailure) -> Unit,
    val lagMillis: () -> Long = { 0 },
)

/** Reads requests from [socket] one after the other and has each answered. Confined to the event loop. */
internal class CallerConnection(private val socket: NetSocket, private val context: CallerContext) {
    val input = SocketInput(socket)

    /** Whether no request is being read or answered. */
    var idle = true
        private set

    /** Serves requests until either side closes the connection. */
    suspend fun serve() {
        var open = true
        while (open && awaitRequest()) {
            idle = false
            open = readRequest().fold({ answer(it) }, { refuse(it) })
            idle = true
        }
        socket.close()
    }

    /** Closes the connection. */
    fun close() {
        socket.close()
    }

    private suspend fun awaitRequest(): Boolean {
        input.queue.skipEmptyLines()
        val arrived = withTimeoutOrNull(context.limits().idleMillis) {
            while (input.queue.size == 0 && input.end == null) {
                input.awaitMore()
                input.queue.skipEmptyLines()
            }
        }
        return arrived != null && input.queue.size > 0
    }

    private suspend fun readRequest(): Result<CallerRequest, MessageFailure> {
        val limits = context.limits()
        val head = withTimeoutOrNull(limits.headMillis) {
            input.readHead(limits.headBytes).andThen { if (it == null) ENDED else parseRequestHead(it) }
        } ?: return Err(MessageFailure.TOO_SLOW)
        return head.andThen { readWhole(it, limits) }
    }

    private suspend fun readWhole(head: RequestHead, limits: CallerLimits): Result<CallerRequest, MessageFailure> {
        val framing = head.framing().getOrElse { return Err(it) }
        if (head.headers.tokens("Expect") == listOf("100-continue")) socket.write(Buffer.buffer(CONTINUE))
        val body = withTimeoutOrNull(limits.idleMillis) { input.readBody(framing, limits.bodyBytes) }
            ?: Err(MessageFailure.TOO_SLOW)
        return body.map { CallerRequest(head, it, context.clock.nowMillis() - context.lagMillis()) }
    }

    private suspend fun answer(request: CallerRequest): Boolean {
        val answer = CallerAnswer(
            socket = socket,
            mayKeep = request.head.keepsAlive,
            chunked = request.head.minorVersion == 1,
            stopping = context.stopping,
        )
        context.handler.handle(request, answer)
        if (!answer.complete) answer.abort()
        return answer.keeps
    }

    private suspend fun refuse(fault: MessageFailure): Boolean {
        context.onFault(fault)
        if (input.end != null) return false
        val answer = CallerAnswer(socket, mayKeep = false, chunked = true, stopping = context.stopping)
        val body = fault.message.encodeToByteArray()
        answer.whole(AnswerHead(fault.status), body)
        discardInput()
        return false
    }

    /** Reads on for a while: closing a connection with unread bytes would reset it before the caller has the answer. */
    private suspend fun discardInput() {
        withTimeoutOrNull(DISCARD_MILLIS) {
            while (input.end == null) {
                input.queue.take(input.queue.size)
                input.awaitMore()
            }
        }
    }

    private companion object {
        val ENDED: Result<RequestHead, MessageFailure> = Err(MessageFailure.ENDED_EARLY)
        const val CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n"

        // Several round trips to a caller in another region.
        const val DISCARD_MILLIS = 300L
    }
}
