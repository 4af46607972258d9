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
 * An open connection to the gateway that sent [remote]. Messages are sent in order within their class; heartbeats and
 * configuration go before all others. The connection closes by itself when it breaks, stays silent for
 * [PeerOptions.silenceMillis] or carries a frame that cannot be read.
 */
public class PeerConnection internal constructor(
    private val socket: Socket,
    private val wire: FramedSocket,
    public val remote: PeerMessage.Hello,
    private val options: PeerOptions,
) : AutoCloseable {
    private val control = Channel<ByteArray>(options.queueCapacityFrames)
    private val data = Channel<ByteArray>(options.queueCapacityFrames)
    private val received = Channel<PeerMessage>(options.queueCapacityFrames)
    private val ended = AtomicReference<PeerFailure?>(null)

    @Volatile
    private var job: Job? = null

    /** Messages in order of arrival; closed when the connection ends. Taken by one consumer. */
    public val incoming: ReceiveChannel<PeerMessage> get() = received

    /** Why the connection ended, or null while it is open. */
    public val failure: PeerFailure? get() = ended.get()

    /** Queues [message]; suspends while the queue is full; returns why the connection ended when it has. */
    public suspend fun send(message: PeerMessage): Result<Unit, PeerFailure> =
        wire.codec.encode(message).fold({ send(message, it) }, { Err(it) })

    /** Queues [message], which is encoded as [frame]; suspends while the queue is full. */
    internal suspend fun send(message: PeerMessage, frame: ByteArray): Result<Unit, PeerFailure> {
        val isControl = message.isControl()
        return try {
            (if (isControl) control else data).send(frame)
            Ok(wire.traffic.count(isControl, frame.size))
        } catch (cause: ClosedSendChannelException) {
            Err(failure ?: PeerFailure.Closed(cause.toString()))
        }
    }

    override fun close() {
        end(PeerFailure.Closed("closed by this side"))
    }

    internal fun start(scope: CoroutineScope) {
        val running = scope.launch(start = CoroutineStart.LAZY) {
            launch { writeFrames() }
            readFrames()
        }
        running.invokeOnCompletion { end(PeerFailure.Closed("the process stops")) }
        job = running
        running.start()
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
            received.send(message)
        } catch (cause: ClosedSendChannelException) {
            logger.debug(cause) { "a message from ${remote.incarnation} arrived after the connection ended" }
        }
    }

    private suspend fun readFrame(): Result<PeerMessage, PeerFailure> = try {
        wire.codec.read(wire.input)
    } catch (cause: IOException) {
        Err(PeerFailure.Closed(cause.toString()))
    }

    private suspend fun writeFrames() {
        while (failure == null) {
            val frame = nextFrame() ?: return
            try {
                wire.codec.write(wire.output, frame)
            } catch (cause: IOException) {
                end(PeerFailure.Closed(cause.toString()))
            }
        }
    }

    private suspend fun nextFrame(): ByteArray? {
        val urgent = control.tryReceive().getOrNull()
        if (urgent != null) return urgent
        return select {
            control.onReceiveCatching { it.getOrNull() }
            data.onReceiveCatching { it.getOrNull() }
        }
    }

    private fun end(reason: PeerFailure) {
        if (!ended.compareAndSet(null, reason)) return
        logger.info { "connection to peer ${remote.incarnation} ended: ${reason.message}" }
        control.close()
        data.close()
        socket.close()
        job?.cancel()
        received.close()
    }
}

private fun PeerMessage.isControl(): Boolean = this !is PeerMessage.ExchangeMessage && this !is PeerMessage.CacheDigest

/** The two directions of a socket and the codec between them. */
internal class FramedSocket(socket: Socket, val codec: FrameCodec, val traffic: TrafficCounter) {
    val input = socket.openReadChannel()
    val output = socket.openWriteChannel()
}
