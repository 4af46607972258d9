package org.parsleymoor.entry.net

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.vertx.core.Vertx
import io.vertx.core.VertxOptions
import io.vertx.core.net.NetServerOptions
import io.vertx.core.transport.Transport
import java.util.concurrent.atomic.AtomicInteger
import io.vertx.core.spi.transport.Transport as TransportProvider

/**
 * Returns a Vert.x instance each of whose servers has at most about [limit] connections open. Connections are accepted
 * on a thread of their own, ahead of the event loop that decides which to keep: without a limit there, those that
 * arrive while it is busy use up the descriptors, after which a class that cannot be read ends that thread.
 */
internal fun vertxWithAcceptLimit(options: VertxOptions, limit: Int): Vertx =
    Vertx.builder().with(options).withTransport(LimitedTransport(limit)).build()

private class LimitedTransport(private val limit: Int) : Transport {
    override fun name(): String = Transport.NIO.name()

    override fun available(): Boolean = true

    override fun unavailabilityCause(): Throwable? = null

    override fun implementation(): TransportProvider = LimitedTransportProvider(Transport.NIO.implementation(), limit)
}

private class LimitedTransportProvider(private val provider: TransportProvider, private val limit: Int) :
    TransportProvider by provider {
    override fun configure(options: NetServerOptions, domainSocket: Boolean, bootstrap: ServerBootstrap) {
        provider.configure(options, domainSocket, bootstrap)
        bootstrap.handler(AcceptLimit(limit))
    }
}

/**
 * Accepts nothing while [limit] connections are open, so that new ones wait in the kernel until the event loop has
 * closed some.
 */
private class AcceptLimit(private val limit: Int) : ChannelInboundHandlerAdapter() {
    private val open = AtomicInteger()

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        val accepted = message as Channel
        val server = context.channel()
        accepted.closeFuture().addListener {
            if (open.decrementAndGet() == limit - 1) server.eventLoop().execute { adjust(server) }
        }
        open.incrementAndGet()
        adjust(server)
        context.fireChannelRead(message)
    }

    /** Called on the thread that accepts. */
    private fun adjust(server: Channel) {
        server.config().isAutoRead = open.get() < limit
    }
}
