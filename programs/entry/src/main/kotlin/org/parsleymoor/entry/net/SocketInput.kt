package org.parsleymoor.entry.net

import io.vertx.core.net.NetSocket
import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.suspendCancellableCoroutine
import org.parsleymoor.relay.http.ByteQueue
import kotlin.coroutines.resume

/** How the other side ended a connection. */
internal enum class InputEnd { ORDERLY, RESET }

/**
 * Bytes that arrive on [socket]. Reading pauses while more than [LIMIT_BYTES] wait, so that a sender cannot fill the
 * memory. Confined to the event loop of the socket.
 */
internal class SocketInput(private val socket: NetSocket) {
    val queue = ByteQueue()

    /** How the connection ended, or null while it is open. */
    var end: InputEnd? = null
        private set

    /** Called when bytes arrive while nobody waits for any. */
    var onUnsolicitedData: () -> Unit = {}

    /** Called when the connection ends. */
    var onEnd: () -> Unit = {}

    private var failed = false
    private var paused = false
    private var waiter: CancellableContinuation<Unit>? = null

    init {
        socket.handler { buffer ->
            queue.append(buffer.bytes)
            if (queue.size > LIMIT_BYTES && !paused) pause()
            if (waiter == null) onUnsolicitedData() else wake()
        }
        socket.exceptionHandler { failed = true }
        socket.closeHandler {
            end = if (failed) InputEnd.RESET else InputEnd.ORDERLY
            wake()
            onEnd()
        }
    }

    /** Suspends until more bytes have arrived or the connection has ended. */
    suspend fun awaitMore() {
        if (end != null) return
        if (paused && queue.size <= LIMIT_BYTES / 2) resumeReading()
        suspendCancellableCoroutine { continuation ->
            waiter = continuation
            continuation.invokeOnCancellation { waiter = null }
        }
    }

    private fun pause() {
        paused = true
        socket.pause()
    }

    private fun resumeReading() {
        paused = false
        socket.resume()
    }

    private fun wake() {
        val waiting = waiter ?: return
        waiter = null
        waiting.resume(Unit)
    }

    private companion object {
        // Several times the largest prompt text of the data sheets; a body larger than this is read in steps.
        const val LIMIT_BYTES = 131_072
    }
}
