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
import java.nio.channels.UnresolvedAddressException

/** Opens connections to other gateways as [identity]; their coroutines run in [scope]. */
public class PeerDialer(
    private val selector: SelectorManager,
    private val scope: CoroutineScope,
    private val identity: PeerMessage.Hello,
    private val options: PeerOptions = PeerOptions(),
) {
    internal var traffic: TrafficCounter = TrafficCounter()

    /** Connects to [host] and [port] and suspends until the handshake ends, within the connect timeout. */
    public suspend fun dial(host: String, port: Int): Result<PeerConnection, PeerFailure> {
        val opened = withTimeoutOrNull(options.connectTimeoutMillis) { open(host, port) }
            ?: Err(PeerFailure.NotConnected("$host:$port", "no answer in ${options.connectTimeoutMillis} ms"))
        return opened.andThen { handshake(it, identity, options, traffic) }.onSuccess { it.start(scope) }
    }

    private suspend fun open(host: String, port: Int): Result<Socket, PeerFailure> = try {
        Ok(aSocket(selector).tcp().connect(host, port))
    } catch (cause: IOException) {
        Err(PeerFailure.NotConnected("$host:$port", cause.toString()))
    } catch (cause: UnresolvedAddressException) {
        Err(PeerFailure.NotConnected("$host:$port", cause.toString()))
    }
}

/** Sends [identity], reads the other side's greeting and checks its version; closes [socket] on a failure. */
internal suspend fun handshake(
    socket: Socket,
    identity: PeerMessage.Hello,
    options: PeerOptions,
    traffic: TrafficCounter,
): Result<PeerConnection, PeerFailure> {
    val wire = FramedSocket(socket, FrameCodec(options.frameLimitBytes), traffic)
    val greeting = withTimeoutOrNull(options.silenceMillis) { greet(wire, identity) }
        ?: Err(PeerFailure.Silent(options.silenceMillis))
    val outcome = greeting.andThen { checkGreeting(it) }.andThen { Ok(PeerConnection(socket, wire, it, options)) }
    if (outcome.isErr) socket.close()
    return outcome
}

private suspend fun greet(wire: FramedSocket, identity: PeerMessage.Hello): Result<PeerMessage, PeerFailure> = try {
    wire.codec.encode(identity).andThen {
        wire.codec.write(wire.output, it)
        wire.codec.read(wire.input)
    }
} catch (cause: IOException) {
    Err(PeerFailure.Closed(cause.toString()))
}

private fun checkGreeting(first: PeerMessage): Result<PeerMessage.Hello, PeerFailure> = when {
    first !is PeerMessage.Hello -> Err(PeerFailure.HandshakeFailed("a greeting", first::class.simpleName.orEmpty()))
    first.protocolVersion != PeerMessage.PROTOCOL_VERSION -> Err(
        PeerFailure.HandshakeFailed("version ${PeerMessage.PROTOCOL_VERSION}", "version ${first.protocolVersion}"),
    )
    else -> Ok(first)
}
