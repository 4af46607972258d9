package org.parsleymoor.entry.net

import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.net.NetSocket
import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.suspendCancellableCoroutine
import org.parsleymoor.relay.http.ByteQueue
import org.parsleymoor.relay.limits.HeldBytes
import java.io.IOException
import kotlin.coroutines.resume

/**
 * How a connection ended: [ORDERLY] when its peer closed it after everything that was sent to it had left, [RESET] in
 * all other cases. What was received before a reset may not be all that the peer sent.
 */
internal enum class InputEnd { ORDERLY, RESET }

/**
 * Buffers the bytes that arrive on [socket]. Reading pauses while more than [MAX_BUFFERED_BYTES] are buffered and no
 * coroutine waits for more, so that a sender cannot exhaust the memory. What the buffer takes
 * beyond that of an idle connection is held in [room], if there is one. Confined to the event loop of the socket.
 */
internal class SocketInput(private val socket: NetSocket, private val room: HeldBytes.Holder? = null) {
    val queue = ByteQueue()

    /** How the connection ended, or null while it is open. */
    var end: InputEnd? = null
        private set

    /** Called when bytes arrive while no coroutine is waiting for them. */
    var onUnsolicitedData: () -> Unit = {}

    /** Called when the connection ends. */
    var onEnd: () -> Unit = {}

    /** Whether bytes were dropped because there was no room for them. Nothing more is received then. */
    var overflowed = false
        private set

    /** Whether nothing more is received. */
    val stopped: Boolean get() = end != null || overflowed

    /** Called after bytes were received or dropped. */
    var onReceived: () -> Unit = {}

    /** The number of bytes of [room] that the buffer takes. */
    val roomBytes: Long get() = room?.bytes ?: 0

    /** An error of this process, not of the network, on the connection, which it has ended; null without one. */
    var fault: Throwable? = null
        private set

    private var failed = false
    private var endOfInputRead = false
    private var unsent = 0
    private var closed = false
    private var paused = false
    private var everPaused = false
    private var receivedBytes = 0L
    private var waiter: CancellableContinuation<Unit>? = null

    init {
        socket.handler { buffer ->
            // The socket would go on without the data whose handler failed.
            runCatching { receive(buffer) }.onFailure { fail(it) }
        }
        socket.exceptionHandler { cause ->
            failed = true
            if (cause !is IOException) fault = cause
        }
        socket.onEndOfInput { endOfInputRead = unsent == 0 }
        socket.closeHandler {
            closed = true
            if (everPaused) endAfterDelivery() else finish()
        }
    }

    /** Sends [bytes] to the peer. A reset can show itself as a write that fails, without any other sign. */
    fun send(bytes: Buffer) {
        unsent++
        socket.write(bytes).onSuccess { unsent-- }.onFailure { failed = true }
    }

    private fun receive(buffer: Buffer) {
        if (fault != null) return
        receivedBytes += buffer.length()
        if (!overflowed) {
            queue.append(buffer.bytes)
            if (!takeRoom()) drop()
        }
        onReceived()
        if (queue.size > MAX_BUFFERED_BYTES && !paused && !closed) {
            paused = true
            everPaused = true
            socket.readAutomatically(false)
        }
        if (waiter == null) onUnsolicitedData() else wake()
    }

    /** Gives back the room that the buffer no longer takes; returns whether it has found room for what it takes. */
    fun takeRoom(): Boolean =
        room?.tryResize((queue.capacity - ByteQueue.IDLE_BYTES).coerceAtLeast(0).toLong()) ?: true

    /** Drops what has been received and all that follows. */
    fun drop() {
        overflowed = true
        queue.skip(queue.size)
        room?.release()
    }

    private fun fail(cause: Throwable) {
        failed = true
        fault = cause
        socket.close()
    }

    private fun finish() {
        end = if (endOfInputRead && !failed) InputEnd.ORDERLY else InputEnd.RESET
        wake()
        onEnd()
    }

    /** Ends the input once the data that the socket held back while reading was paused has been delivered. */
    private fun endAfterDelivery() {
        readOn(limitBytes = Int.MAX_VALUE)
        val receivedBefore = receivedBytes
        Vertx.currentContext().owner().setTimer(DELIVERY_POLL_MILLIS) {
            if (receivedBytes == receivedBefore) finish() else endAfterDelivery()
        }
    }

    /** Suspends until more bytes have arrived or the connection has ended. */
    suspend fun awaitMore() {
        if (end != null) return
        // Whoever waits needs more than is buffered, such as the rest of a large head, and has a limit of its own.
        readOn(limitBytes = Int.MAX_VALUE)
        suspendCancellableCoroutine { continuation ->
            waiter = continuation
            continuation.invokeOnCancellation { waiter = null }
        }
    }

    /**
     * Reads on if reading is paused and at most [limitBytes] are buffered. While it is paused, the end of the
     * connection is not noticed, so a message whose last bytes filled the buffer must not leave it so.
     */
    fun readOn(limitBytes: Int = MAX_BUFFERED_BYTES) {
        if (!paused || queue.size > limitBytes) return
        paused = false
        socket.readAutomatically(true)
    }

    private fun wake() {
        val waiting = waiter ?: return
        waiter = null
        waiting.resume(Unit)
    }

    private companion object {
        // A timer fires after the deliveries that were already scheduled on the event loop.
        const val DELIVERY_POLL_MILLIS = 1L

        // Several times the largest prompt in the data sheets. Larger bodies are read in steps.
        const val MAX_BUFFERED_BYTES = 131_072
    }
}
