package org.parsleymoor.entry.callers

import io.vertx.core.buffer.Buffer
import io.vertx.core.net.NetSocket
import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.suspendCancellableCoroutine
import org.parsleymoor.core.Clock
import org.parsleymoor.relay.limits.HeldBytes
import kotlin.coroutines.resume

/**
 * What the callers of this instance have not read of their responses, counted in the account [held]. An endpoint does
 * not wait for a slow caller: the response is kept here, up to a share of the account for each, and when the account is
 * full, the caller that has taken nothing for the longest time is given up. Confined to the event loop.
 */
internal class UnreadResponses(private val held: HeldBytes, private val clock: Clock) {
    private val unread = LinkedHashSet<Response>()

    /** The response to one request, written to [socket]. [giveUp] resets the connection of its caller. */
    inner class Response(private val socket: NetSocket, private val giveUp: () -> Unit) {
        private val parts = ArrayDeque<Buffer>()
        private val holder = held.newHolder()
        private var takenMillis = 0L
        private var waiter: CancellableContinuation<Unit>? = null

        /** Whether the caller has been given up because it read too slowly. */
        var isGivenUp = false
            private set

        private val hasRoom: Boolean get() = parts.isEmpty() && !socket.writeQueueFull()

        /** Writes [part], or keeps it until the caller has read what is before it. */
        fun write(part: Buffer) {
            when {
                isGivenUp -> Unit
                hasRoom -> socket.write(part)
                else -> {
                    if (unread.add(this)) takenMillis = clock.nowMillis()
                    socket.drainHandler { drain() }
                    if (makeRoom(part.length())) parts += part
                }
            }
        }

        /** Returns whether the caller has taken nothing for [limitMillis] although a part waits for it. */
        fun isStalled(limitMillis: Long): Boolean =
            parts.isNotEmpty() && clock.nowMillis() - takenMillis >= limitMillis

        /** Suspends until the caller has taken some of what waits for it. Returns whether more is left. */
        suspend fun awaitTaken(): Boolean {
            if (hasRoom) return false
            socket.drainHandler { drain() }
            suspendCancellableCoroutine { continuation ->
                waiter = continuation
                continuation.invokeOnCancellation { waiter = null }
            }
            return !hasRoom
        }

        /** Drops what is left and gives its room back; may be called more than once. */
        fun release() {
            parts.clear()
            holder.release()
            unread -= this
        }

        private fun drain() {
            takenMillis = clock.nowMillis()
            while (parts.isNotEmpty() && !socket.writeQueueFull()) {
                val part = parts.removeFirst()
                holder.tryResize(holder.bytes - part.length())
                socket.write(part)
            }
            if (parts.isEmpty()) unread -= this
            waiter?.also { waiter = null }?.resume(Unit)
        }

        private fun makeRoom(bytes: Int): Boolean {
            val newBytes = holder.bytes + bytes
            if (newBytes > held.limitBytes / RESPONSES) drop()
            while (!isGivenUp && !holder.tryResize(newBytes)) unread.minBy { it.takenMillis }.drop()
            return !isGivenUp
        }

        private fun drop() {
            isGivenUp = true
            release()
            giveUp()
        }
    }

    private companion object {
        // One response may take this part of the account, hundreds of times what a stream usually has.
        const val RESPONSES = 16
    }
}
