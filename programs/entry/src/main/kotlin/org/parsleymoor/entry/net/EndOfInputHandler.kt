package org.parsleymoor.entry.net

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelOption
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.vertx.core.internal.net.NetSocketInternal
import io.vertx.core.net.NetSocket

/** Calls [onEndOfInput] when the end of input was read, and then closes the connection. */
private class EndOfInputHandler(private val onEndOfInput: () -> Unit) : ChannelInboundHandlerAdapter() {
    override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
        if (event === ChannelInputShutdownEvent.INSTANCE) {
            onEndOfInput()
            context.close()
        }
        context.fireUserEventTriggered(event)
    }
}

/**
 * Calls [action] when the end of input is read from this socket, which is then closed. A socket that is closed for
 * another reason, such as a write that failed, does not call it.
 */
internal fun NetSocket.onEndOfInput(action: () -> Unit) {
    val context = (this as NetSocketInternal).channelHandlerContext()
    // Otherwise the channel is closed at the end of input as by an error, with no event that tells them apart.
    context.channel().config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
    context.pipeline().addBefore(context.name(), null, EndOfInputHandler(action))
}
