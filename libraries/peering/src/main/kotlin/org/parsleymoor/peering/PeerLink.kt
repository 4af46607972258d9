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
 * A connection with its exchanges. The dialling side numbers its exchanges oddly and the accepting side evenly, so that
 * both can open exchanges without agreeing on numbers.
 */
public class PeerLink internal constructor(
    private val connection: PeerConnection,
    internal val isOutbound: Boolean,
    private val handler: PeerHandler,
    private val queuedMessages: Int,
) : AutoCloseable {
    private val exchanges = ConcurrentHashMap<Long, PeerExchange>()
    private val nextNumber = AtomicLong(if (isOutbound) 1 else 2)
    private val oddRemote = !isOutbound

    /** The gateway on the other side. */
    public val remote: PeerMessage.Hello get() = connection.remote

    /** Why the connection ended, or null while it is open. */
    public val failure: PeerFailure? get() = connection.failure

    internal val isIdle: Boolean get() = exchanges.isEmpty()

    /** Queues a message. */
    public suspend fun send(message: PeerMessage): Result<Unit, PeerFailure> = connection.send(message)

    /** Queues [message], which is encoded as [frame]. */
    internal suspend fun send(message: PeerMessage, frame: ByteArray): Result<Unit, PeerFailure> =
        connection.send(message, frame)

    /** Opens an exchange with the message that [opening] makes for its number. */
    public suspend fun open(opening: (Long) -> PeerMessage.ExchangeMessage): Result<PeerExchange, PeerFailure> {
        val number = nextNumber.getAndAdd(2)
        val exchange = PeerExchange(number, this, queuedMessages)
        exchanges[number] = exchange
        return send(opening(number)).map { exchange }.onFailure { exchange.close() }
    }

    override fun close() {
        connection.close()
    }

    /** Hands on every message until the connection ends; exchanges opened by the other side run in [scope]. */
    internal suspend fun run(scope: CoroutineScope) {
        for (message in connection.incoming) {
            when (message) {
                is PeerMessage.ExchangeMessage -> dispatch(message, scope)
                else -> handler.onConnectionMessage(this, message)
            }
        }
        exchanges.values.forEach { it.close() }
    }

    internal fun forget(number: Long) {
        exchanges.remove(number)
    }

    private fun dispatch(message: PeerMessage.ExchangeMessage, scope: CoroutineScope) {
        val known = exchanges[message.exchange]
        when {
            known != null -> deliver(known, message)
            message.isOpening() && isRemoteNumber(message.exchange) -> accept(message, scope)
            else -> logger.debug { "a message for the unknown exchange ${message.exchange} was dropped" }
        }
    }

    // An exchange whose reader does not keep up is ended, so that it cannot hold up the others on the connection.
    private fun deliver(exchange: PeerExchange, message: PeerMessage.ExchangeMessage) {
        if (exchange.offer(message)) return
        logger.warn { "exchange ${exchange.number} with ${remote.incarnation}: over $queuedMessages unread messages" }
        exchange.close()
    }

    private fun accept(message: PeerMessage.ExchangeMessage, scope: CoroutineScope) {
        val exchange = PeerExchange(message.exchange, this, queuedMessages)
        exchanges[message.exchange] = exchange
        scope.launch { exchange.use { handler.onExchange(it, message) } }
    }

    private fun isRemoteNumber(number: Long): Boolean = (number % 2 == 1L) == oddRemote
}

private fun PeerMessage.ExchangeMessage.isOpening(): Boolean = when (this) {
    is PeerMessage.Forward, is PeerMessage.ExecuteTicket, is PeerMessage.ExecuteClaim -> true
    is PeerMessage.PiecesWanted, is PeerMessage.Pieces, is PeerMessage.Started, is PeerMessage.Chunk,
    is PeerMessage.Finished, is PeerMessage.Refused, is PeerMessage.Cancel, is PeerMessage.ExecutionAnswer,
    is PeerMessage.BodyPart,
    -> false
}
