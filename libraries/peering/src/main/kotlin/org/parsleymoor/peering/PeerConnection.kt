package org.parsleymoor.peering

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ClosedSendChannelException
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.IOException
import java.util.concurrent.atomic.AtomicReference

private val logger = KotlinLogging.logger {}

/**
 * An open connection to the peer that sent [remote] in the handshake. Messages of exchanges and cache digests are data
 * messages, all others are control messages. Control messages are sent before queued data messages; within each class
 * the order is kept. The connection closes itself when the socket fails, when nothing arrives for
 * [PeerOptions.silenceMillis] or when an invalid frame arrives.
 */
public class PeerConnection internal constructor(
    private val socket: Socket,
    private val framed: FramedSocket,
    public val remote: PeerMessage.Hello,
    private val options: PeerOptions,
) : AutoCloseable {
    private val controlQueue = Channel<ByteArray>(options.queueCapacityFrames)
    private val dataQueue = Channel<ByteArray>(options.queueCapacityFrames)
    private val incomingQueue = Channel<PeerMessage>(options.queueCapacityFrames)
    private val endReason = AtomicReference<PeerFailure?>(null)

    @Volatile
    private var job: Job? = null

    /** Received messages in order of arrival, for a single consumer; closed when the connection ends. */
    public val incoming: ReceiveChannel<PeerMessage> get() = incomingQueue

    /** Why the connection ended, or null while it is open. */
    public val failure: PeerFailure? get() = endReason.get()

    /**
     * Queues [message] and suspends while the queue is full. Returns the failure if the message is too large for a
     * frame or the connection has ended.
     */
    public suspend fun send(message: PeerMessage): Result<Unit, PeerFailure> =
        framed.codec.encode(message).fold({ send(message, it) }, { Err(it) })

    /** Queues [message], already encoded as [frame], and suspends while the queue is full. */
    internal suspend fun send(message: PeerMessage, frame: ByteArray): Result<Unit, PeerFailure> {
        val isControl = message.isControl()
        return try {
            (if (isControl) controlQueue else dataQueue).send(frame)
            Ok(framed.counter.count(isControl, frame.size))
        } catch (cause: ClosedSendChannelException) {
            Err(failure ?: PeerFailure.Closed(cause.toString()))
        }
    }

    override fun close() {
        end(PeerFailure.Closed("closed locally"))
    }

    internal fun start(scope: CoroutineScope) {
        val connectionJob = scope.launch(start = CoroutineStart.LAZY) {
            launch { writeFrames() }
            readFrames()
        }
        connectionJob.invokeOnCompletion { end(PeerFailure.Closed("the connection's coroutine was stopped")) }
        job = connectionJob
        connectionJob.start()
    }

    private suspend fun readFrames() {
        while (failure == null) {
            val outcome = withTimeoutOrNull(options.silenceMillis) { readFrame() }
                ?: Err(PeerFailure.Silent(options.silenceMillis))
            outcome.onSuccess { deliver(it) }.onFailure { end(it) }
        }
    }

    private suspend fun deliver(message: PeerMessage) {
        try {
            incomingQueue.send(message)
        } catch (cause: ClosedSendChannelException) {
            logger.debug(cause) { "dropped a message from ${remote.incarnation} after the connection ended" }
        }
    }

    private suspend fun readFrame(): Result<PeerMessage, PeerFailure> = try {
        framed.codec.read(framed.input)
    } catch (cause: IOException) {
        Err(PeerFailure.Closed(cause.toString()))
    }

    private suspend fun writeFrames() {
        while (failure == null) {
            val frame = nextFrame() ?: return
            try {
                framed.codec.write(framed.output, frame)
            } catch (cause: IOException) {
                end(PeerFailure.Closed(cause.toString()))
            }
        }
    }

    private suspend fun nextFrame(): ByteArray? {
        val controlFrame = controlQueue.tryReceive().getOrNull()
        if (controlFrame != null) return controlFrame
        return select {
            controlQueue.onReceiveCatching { it.getOrNull() }
            dataQueue.onReceiveCatching { it.getOrNull() }
        }
    }

    private fun end(reason: PeerFailure) {
        if (!endReason.compareAndSet(null, reason)) return
        logger.info { "connection to peer ${remote.incarnation} ended: ${reason.message}" }
        controlQueue.close()
        dataQueue.close()
        socket.close()
        job?.cancel()
        incomingQueue.close()
    }
}

private fun PeerMessage.isControl(): Boolean = this !is PeerMessage.ExchangeMessage && this !is PeerMessage.CacheDigest

/** The read and write channels of a socket, with the codec and the traffic counter for their frames. */
internal class FramedSocket(socket: Socket, val codec: FrameCodec, val counter: TrafficCounter) {
    val input = socket.openReadChannel()
    val output = socket.openWriteChannel()
}
