package org.parsleymoor.peering

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.channels.Channel

/**
 * One numbered conversation on a connection, such as a forwarded completion. Both sides send and receive until one of
 * them sends a closing message or calls [close].
 */
public class PeerExchange internal constructor(
    public val number: Long,
    private val link: PeerLink,
    queuedMessages: Int,
) : AutoCloseable {
    private val received = Channel<PeerMessage.ExchangeMessage>(queuedMessages)

    /** The gateway on the other side. */
    public val remote: PeerMessage.Hello get() = link.remote

    /** Queues [message], whose exchange number has to be [number]. */
    public suspend fun send(message: PeerMessage.ExchangeMessage): Result<Unit, PeerFailure> {
        require(message.exchange == number) { "expected exchange $number, found ${message.exchange}" }
        return link.send(message)
    }

    /** Suspends until the other side's next message; returns why the connection ended when it has. */
    public suspend fun receive(): Result<PeerMessage.ExchangeMessage, PeerFailure> {
        val message = received.receiveCatching().getOrNull()
        return if (message == null) Err(link.failure ?: PeerFailure.Closed("the exchange ended")) else Ok(message)
    }

    /** Forgets the exchange; later messages for it are dropped. */
    override fun close() {
        link.forget(number)
        received.close()
    }

    internal fun offer(message: PeerMessage.ExchangeMessage): Boolean = received.trySend(message).isSuccess
}

/** Ends the exchange with a refusal of [type]; returns why the connection ended when it has. */
public suspend fun PeerExchange.refuse(
    type: String,
    detail: String,
    execution: Execution = Execution.NOT_RUN,
    retryAfterMillis: Long = 0,
): Result<Unit, PeerFailure> = send(PeerMessage.Refused(number, type, detail, execution, retryAfterMillis))
