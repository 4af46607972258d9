package org.parsleymoor.entry.callers

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import com.github.michaelbull.result.map
import io.vertx.core.buffer.Buffer
import io.vertx.core.net.NetSocket
import kotlinx.coroutines.withTimeoutOrNull
import org.parsleymoor.core.Clock
import org.parsleymoor.entry.net.SocketInput
import org.parsleymoor.entry.net.abort
import org.parsleymoor.entry.net.awaitSocketPoll
import org.parsleymoor.entry.net.discard
import org.parsleymoor.entry.net.readBody
import org.parsleymoor.entry.net.readHead
import org.parsleymoor.relay.http.BodyFraming
import org.parsleymoor.relay.http.HeldBody
import org.parsleymoor.relay.http.MessageFailure
import org.parsleymoor.relay.http.RequestHead
import org.parsleymoor.relay.http.framing
import org.parsleymoor.relay.http.parseRequestHead
import org.parsleymoor.relay.limits.ConnectionLimits
import org.parsleymoor.relay.limits.ConnectionStage
import org.parsleymoor.relay.limits.ConnectionUse
import org.parsleymoor.relay.limits.HeldBytes
import org.parsleymoor.relay.routing.CallerLimits

/**
 * [onFault] is called for each malformed request, [onClosed] for each connection that ends. [onNoRoom] refuses a
 * request for which there is no room; its head is null if it has not been read. [onShed] is called when connections
 * were closed because room was short, with their number and the number that were open.
 */
internal class ConnectionEvents(
    val onFault: (MessageFailure) -> Unit = {},
    val onClosed: (ConnectionClosure) -> Unit = {},
    val onShed: (Int, Int) -> Unit = { _, _ -> },
    val onNoRoom: (RequestHead?, ResponseWriter) -> Unit = { _, writer -> writer.abort() },
)

/** The account of the messages that this instance holds, its [limits], and how far its event loop is behind. */
internal class CallerLoad(
    val held: HeldBytes,
    val limits: ConnectionLimits = ConnectionLimits(),
    val lagMillis: () -> Long = { 0 },
)

/**
 * Dependencies shared by the connections of a server. [stopping] tells whether this instance is shutting down.
 */
internal class CallerContext(
    val clock: Clock,
    val handler: RequestHandler,
    val limits: () -> CallerLimits,
    val stopping: () -> Boolean,
    val load: CallerLoad,
    val events: ConnectionEvents = ConnectionEvents(),
) {
    /** What callers have not read of their responses. */
    val unread = UnreadResponses(load.held, clock)
}

/** Reads requests from [socket] and handles them one after the other. Confined to the event loop. */
internal class CallerConnection(private val socket: NetSocket, private val context: CallerContext) {
    val input = SocketInput(socket, context.load.held.newHolder())

    /** Whether no request is being read or handled. */
    val idle: Boolean get() = stage == ConnectionStage.NEW || stage == ConnectionStage.IDLE

    /** What the connection is doing, and the bytes of unfinished requests that it holds. */
    val use: ConnectionUse<CallerConnection>
        get() {
            val bodyBytes = if (stage == ConnectionStage.RECEIVING) held?.heldBytes ?: 0 else 0
            val shownStage = if (closeReason == null) stage else ConnectionStage.REFUSED
            return ConnectionUse(this, shownStage, sinceMillis, input.roomBytes + bodyBytes)
        }

    private var stage = ConnectionStage.NEW
    private var sinceMillis = context.clock.nowMillis()
    private val start = RequestStart(input, context)
    private var requests = 0
    private var refusedHead: RequestHead? = null
    private var held: HeldBody? = null
    private var closeReason: CloseReason? = null

    /** Serves requests until either side closes the connection. */
    suspend fun serve() {
        try {
            var open = true
            while (open && start.await()) {
                enter(ConnectionStage.RECEIVING)
                open = readRequest().fold({ handle(it) }, { refuse(it) })
                held?.release()
                // Not idle yet: a planned stop waits for a request that has arrived.
                if (open && input.queue.size > 0) awaitSocketPoll()
                enter(ConnectionStage.IDLE)
            }
            close(CloseReason.IDLE)
        } finally {
            held?.release()
            val failed = input.end == null || input.fault != null
            val reason = closeReason ?: if (failed) CloseReason.FAILED else CloseReason.CALLER_CLOSED
            context.events.onClosed(ConnectionClosure(reason, requests, input.queue.size, input.fault))
            input.drop()
            enter(ConnectionStage.IDLE)
            serving = false
        }
    }

    /** Whether requests are still read; the connection may be open for longer, while it is being closed. */
    var serving = true
        private set

    /** Whether the connection was reset with [shed]. */
    var wasShed = false
        private set

    /** Resets the connection at once for [reason] and gives back what it holds of a request that is not complete. */
    fun shed(reason: CloseReason) {
        wasShed = true
        if (closeReason == null) closeReason = reason
        if (stage == ConnectionStage.RECEIVING) held?.release()
        input.drop()
        socket.abort()
    }

    private fun enter(newStage: ConnectionStage) {
        stage = newStage
        sinceMillis = context.clock.nowMillis()
    }

    /** Closes the connection for [reason], unless it is being closed for another one. */
    fun close(reason: CloseReason) {
        if (input.end == null && closeReason == null) closeReason = reason
        socket.close()
    }

    /** Resets the connection of a caller that does not read, because a close would wait for what is still queued. */
    private fun giveUp() {
        if (closeReason == null) closeReason = CloseReason.NOT_READING
        socket.abort()
    }

    private suspend fun readRequest(): Result<CallerRequest, MessageFailure> {
        val limits = context.limits()
        val head = withTimeoutOrNull(limits.headMillis) {
            input.readHead(limits.headBytes, start.skippedBytes)
                .andThen { if (it == null) ENDED_EARLY else parseRequestHead(it) }
        } ?: return Err(MessageFailure.TOO_SLOW)
        refusedHead = head.get()
        return head.andThen { request -> request.framing().andThen { readBodyOf(request, it, limits) } }
    }

    private suspend fun readBodyOf(
        head: RequestHead,
        framing: BodyFraming,
        limits: CallerLimits,
    ): Result<CallerRequest, MessageFailure> {
        val statedBytes = (framing as? BodyFraming.Length)?.bytes ?: 0
        val room = statedBytes > limits.bodyBytes || context.load.held.hasRoomFor(statedBytes)
        if (!room) return Err(MessageFailure.NO_ROOM)
        if (head.headers.tokens("Expect") == listOf("100-continue")) socket.write(Buffer.buffer(CONTINUE))
        val body = HeldBody(context.load.held).also { held = it }
        return input.readBody(framing, body, limits, context.clock)
            .map { CallerRequest(head, body, context.clock.nowMillis() - context.load.lagMillis()) }
    }

    private suspend fun handle(request: CallerRequest): Boolean {
        requests++
        enter(ConnectionStage.HANDLING)
        input.takeRoom()
        input.readOn()
        val unread = context.unread.Response(socket, ::giveUp)
        val writer = ResponseWriter(
            socket = socket,
            keepAliveAllowed = request.head.keepsAlive,
            chunked = request.head.minorVersion == 1,
            stopping = context.stopping,
            stall = WriteStall(context.limits().idleMillis, ::giveUp),
            unread = unread,
        )
        try {
            context.handler.handle(request, writer)
            if (writer.complete) writer.flush()
        } finally {
            unread.release()
        }
        when {
            !writer.complete -> close(CloseReason.UNFINISHED)
            !writer.keepAlive -> close(CloseReason.ANSWERED)
        }
        return writer.complete && writer.keepAlive
    }

    private suspend fun refuse(fault: MessageFailure): Boolean {
        enter(ConnectionStage.REFUSED)
        held?.release()
        val noRoom = fault == MessageFailure.NO_ROOM
        if (!noRoom) context.events.onFault(fault)
        if (input.end != null) return false
        val writer = ResponseWriter(socket, keepAliveAllowed = false, chunked = true, stopping = context.stopping)
        if (noRoom) {
            context.events.onNoRoom(refusedHead, writer)
        } else {
            writer.writeResponse(CallerResponseHead(fault.status), fault.message.encodeToByteArray())
        }
        input.discard(DISCARD_MILLIS)
        close(if (noRoom) CloseReason.NO_ROOM else CloseReason.MALFORMED)
        return false
    }

    private companion object {
        val ENDED_EARLY: Result<RequestHead, MessageFailure> = Err(MessageFailure.ENDED_EARLY)
        const val CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n"

        // Long enough for several round trips to a caller in another region.
        const val DISCARD_MILLIS = 300L
    }
}
