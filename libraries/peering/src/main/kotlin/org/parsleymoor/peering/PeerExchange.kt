package org.parsleymoor.peering

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.channels.Channel

/**
 * A bidirectional sequence of messages on a connection, such as a forwarded completion and its answer. Both sides send
 * and receive until one of them sends a final message or calls [close].
 */
public class PeerExchange internal constructor(
    public val number: Long,
    private val link: PeerLink,
    queueCapacity: Int,
) : AutoCloseable {
    private val incomingQueue = Channel<PeerMessage.ExchangeMessage>(queueCapacity)

    /** The message with which the peer identified itself in the handshake. */
    public val remote: PeerMessage.Hello get() = link.remote

    /** Queues [message] for sending; its exchange number must be [number]. */
    public suspend fun send(message: PeerMessage.ExchangeMessage): Result<Unit, PeerFailure> {
        require(message.exchange == number) { "expected exchange $number, found ${message.exchange}" }
        return link.send(message)
    }

    /**
     * Suspends until the peer's next message arrives; returns the failure if the connection or the exchange has ended.
     */
    public suspend fun receive(): Result<PeerMessage.ExchangeMessage, PeerFailure> {
        val message = incomingQueue.receiveCatching().getOrNull()
        return if (message == null) Err(link.failure ?: PeerFailure.Closed("the exchange was closed")) else Ok(message)
    }

    /** Removes the exchange from its link; later messages for it are dropped. */
    override fun close() {
        link.removeExchange(number)
        incomingQueue.close()
    }

    internal fun offer(message: PeerMessage.ExchangeMessage): Boolean = incomingQueue.trySend(message).isSuccess
}

/** Ends the exchange with a refusal of [type]; returns the failure if the connection has ended. */
public suspend fun PeerExchange.refuse(
    type: String,
    detail: String,
    execution: Execution = Execution.NOT_RUN,
    retryAfterMillis: Long = 0,
): Result<Unit, PeerFailure> = send(PeerMessage.Refused(number, type, detail, execution, retryAfterMillis))
