package org.parsleymoor.peering

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import com.github.michaelbull.result.onFailure
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

private val logger = KotlinLogging.logger {}

/**
 * A connection that carries exchanges. The dialling side gives its exchanges odd numbers and the accepting side even
 * ones, so that both can open exchanges without coordination.
 */
public class PeerLink internal constructor(
    private val connection: PeerConnection,
    internal val isOutbound: Boolean,
    private val handler: PeerHandler,
    private val queueCapacity: Int,
) : AutoCloseable {
    private val exchanges = ConcurrentHashMap<Long, PeerExchange>()
    private val nextNumber = AtomicLong(if (isOutbound) 1 else 2)
    private val remoteNumbersAreOdd = !isOutbound

    /** The message with which the peer identified itself in the handshake. */
    public val remote: PeerMessage.Hello get() = connection.remote

    /** Why the connection ended, or null while it is open. */
    public val failure: PeerFailure? get() = connection.failure

    internal val isIdle: Boolean get() = exchanges.isEmpty()

    /** Queues [message] for sending. */
    public suspend fun send(message: PeerMessage): Result<Unit, PeerFailure> = connection.send(message)

    /** Queues [message], already encoded as [frame]. */
    internal suspend fun send(message: PeerMessage, frame: ByteArray): Result<Unit, PeerFailure> =
        connection.send(message, frame)

    /** Opens an exchange with the message that [opening] returns for the exchange's number. */
    public suspend fun open(opening: (Long) -> PeerMessage.ExchangeMessage): Result<PeerExchange, PeerFailure> {
        val number = nextNumber.getAndAdd(2)
        val exchange = PeerExchange(number, this, queueCapacity)
        exchanges[number] = exchange
        return send(opening(number)).map { exchange }.onFailure { exchange.close() }
    }

    override fun close() {
        connection.close()
    }

    /**
     * Dispatches received messages until the connection ends; the handlers of exchanges that the peer opens run in
     * [scope].
     */
    internal suspend fun run(scope: CoroutineScope) {
        for (message in connection.incoming) {
            when (message) {
                is PeerMessage.ExchangeMessage -> dispatch(message, scope)
                else -> handler.onConnectionMessage(this, message)
            }
        }
        exchanges.values.forEach { it.close() }
    }

    internal fun removeExchange(number: Long) {
        exchanges.remove(number)
    }

    private fun dispatch(message: PeerMessage.ExchangeMessage, scope: CoroutineScope) {
        val exchange = exchanges[message.exchange]
        when {
            exchange != null -> deliver(exchange, message)
            message.isOpening() && isRemoteNumber(message.exchange) -> accept(message, scope)
            else -> logger.debug { "dropped a message for unknown exchange ${message.exchange}" }
        }
    }

    // An exchange whose queue is full is closed: waiting for its reader would block the connection's other exchanges.
    private fun deliver(exchange: PeerExchange, message: PeerMessage.ExchangeMessage) {
        if (exchange.offer(message)) return
        logger.warn { "exchange ${exchange.number} with ${remote.incarnation} closed: $queueCapacity unread messages" }
        exchange.close()
    }

    private fun accept(message: PeerMessage.ExchangeMessage, scope: CoroutineScope) {
        val exchange = PeerExchange(message.exchange, this, queueCapacity)
        exchanges[message.exchange] = exchange
        scope.launch { exchange.use { handler.onExchange(it, message) } }
    }

    private fun isRemoteNumber(number: Long): Boolean = (number % 2 == 1L) == remoteNumbersAreOdd
}

private fun PeerMessage.ExchangeMessage.isOpening(): Boolean = when (this) {
    is PeerMessage.Forward, is PeerMessage.ExecuteTicket, is PeerMessage.ExecuteClaim -> true
    is PeerMessage.PiecesWanted, is PeerMessage.Pieces, is PeerMessage.Started, is PeerMessage.Chunk,
    is PeerMessage.Finished, is PeerMessage.Refused, is PeerMessage.Cancel, is PeerMessage.ExecutionAnswer,
    is PeerMessage.BodyPart,
    -> false
}
