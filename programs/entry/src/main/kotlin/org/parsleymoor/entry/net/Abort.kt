package org.parsleymoor.entry.net

import io.netty.channel.ChannelOption
import io.vertx.core.internal.net.NetSocketInternal
import io.vertx.core.net.NetSocket

/** Resets the connection at once, without sending what is still queued. */
internal fun NetSocket.abort() {
    // Closes the channel below the handler of the socket, which would first send what it has queued.
    val context = (this as NetSocketInternal).channelHandlerContext()
    if (context.channel().isOpen) context.channel().config().setOption(ChannelOption.SO_LINGER, 0)
    context.close()
}

/**
 * Whether bytes that arrive are read. While they are not, the kernel holds them, and the end of the connection is not
 * noticed. Pausing the socket instead would let Vert.x read up to 16 buffers ahead.
 */
internal fun NetSocket.readAutomatically(enabled: Boolean) {
    (this as NetSocketInternal).channelHandlerContext().channel().config().isAutoRead = enabled
}
