package org.parsleymoor.entry

import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.embedded.EmbeddedChannel
import io.vertx.core.Handler
import io.vertx.core.buffer.Buffer
import io.vertx.core.internal.net.NetSocketInternal
import org.junit.jupiter.api.Test
import org.parsleymoor.entry.net.SocketInput
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import java.io.IOException
import java.lang.reflect.Proxy

/** Guards against errors of this process on a connection that go unnoticed. */
class SocketInputTest {
    private val channel = EmbeddedChannel(ChannelInboundHandlerAdapter())
    private val handlers = HashMap<String, Handler<Any?>>()
    private var closes = 0

    @Suppress("UNCHECKED_CAST")
    private val socket =
        Proxy.newProxyInstance(
            javaClass.classLoader,
            arrayOf(NetSocketInternal::class.java)
        ) { self, method, arguments ->
            if (arguments?.firstOrNull() is Handler<*>) handlers[method.name] = arguments[0] as Handler<Any?>
            if (method.name == "close") closes++
            when {
                method.name == "channelHandlerContext" -> channel.pipeline().firstContext()
                method.returnType.isInstance(self) -> self
                else -> null
            }
        } as NetSocketInternal

    // The socket library drops what the handler of received data throws, and goes on without the data.
    @Test
    fun `a connection whose received data cannot be taken ends`() {
        val input = SocketInput(socket)
        input.onUnsolicitedData = { throw OutOfMemoryError("simulated") }
        handlers.getValue("handler").handle(Buffer.buffer("a"))
        handlers.getValue("handler").handle(Buffer.buffer("b"))
        expectThat(input.fault).isA<OutOfMemoryError>()
        expectThat(input.queue.size).isEqualTo(1)
        expectThat(closes).isEqualTo(1)
    }

    // An error of this process was taken for one of the network, and left no trace.
    @Test
    fun `an error that is none of the network is kept`() {
        val input = SocketInput(socket)
        handlers.getValue("exceptionHandler").handle(IOException("reset"))
        expectThat(input.fault).isNull()
        handlers.getValue("exceptionHandler").handle(OutOfMemoryError("simulated"))
        expectThat(input.fault).isA<OutOfMemoryError>()
    }
}
