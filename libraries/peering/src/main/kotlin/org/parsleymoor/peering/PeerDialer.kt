package org.parsleymoor.peering

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.onSuccess
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.IOException

/** Opens connections to peers and sends them [hello] in the handshake. The connections' coroutines run in [scope]. */
public class PeerDialer(
    private val selector: SelectorManager,
    private val scope: CoroutineScope,
    private val hello: PeerMessage.Hello,
    private val options: PeerOptions = PeerOptions(),
) {
    internal var counter: TrafficCounter = TrafficCounter()

    /**
     * Connects to [host] and [port] and performs the handshake. Opening the socket may take
     * [PeerOptions.connectTimeoutMillis], the handshake another [PeerOptions.silenceMillis].
     */
    public suspend fun dial(host: String, port: Int): Result<PeerConnection, PeerFailure> {
        val opened = withTimeoutOrNull(options.connectTimeoutMillis) { openSocket(host, port) }
            ?: Err(PeerFailure.NotConnected("$host:$port", "not connected within ${options.connectTimeoutMillis} ms"))
        return opened.andThen { handshake(it, hello, options, counter) }.onSuccess { it.start(scope) }
    }

    private suspend fun openSocket(host: String, port: Int): Result<Socket, PeerFailure> = try {
        Ok(aSocket(selector).tcp().connect(host, port))
    } catch (cause: IOException) {
        Err(PeerFailure.NotConnected("$host:$port", cause.toString()))
    } catch (cause: IllegalArgumentException) {
        // The host is no valid name, or does not resolve.
        Err(PeerFailure.NotConnected("$host:$port", cause.toString()))
    }
}

/**
 * Sends [hello], then reads the peer's [PeerMessage.Hello] and checks its protocol version; closes [socket] on a
 * failure.
 */
internal suspend fun handshake(
    socket: Socket,
    hello: PeerMessage.Hello,
    options: PeerOptions,
    counter: TrafficCounter,
): Result<PeerConnection, PeerFailure> {
    val framed = FramedSocket(socket, FrameCodec(options.frameLimitBytes), counter)
    val reply = withTimeoutOrNull(options.silenceMillis) { sendAndReceiveHello(framed, hello) }
        ?: Err(PeerFailure.Silent(options.silenceMillis))
    val outcome = reply.andThen { checkHello(it) }.andThen { Ok(PeerConnection(socket, framed, it, options)) }
    if (outcome.isErr) socket.close()
    return outcome
}

private suspend fun sendAndReceiveHello(
    framed: FramedSocket,
    hello: PeerMessage.Hello,
): Result<PeerMessage, PeerFailure> = try {
    framed.codec.encode(hello).andThen {
        framed.codec.write(framed.output, it)
        framed.codec.read(framed.input)
    }
} catch (cause: IOException) {
    Err(PeerFailure.Closed(cause.toString()))
}

private fun checkHello(message: PeerMessage): Result<PeerMessage.Hello, PeerFailure> = when {
    message !is PeerMessage.Hello -> Err(PeerFailure.HandshakeFailed("a Hello", message::class.simpleName.orEmpty()))
    message.protocolVersion != PeerMessage.PROTOCOL_VERSION -> Err(
        PeerFailure.HandshakeFailed("version ${PeerMessage.PROTOCOL_VERSION}", "version ${message.protocolVersion}"),
    )
    else -> Ok(message)
}
