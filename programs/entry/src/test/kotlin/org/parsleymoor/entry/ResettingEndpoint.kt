package org.parsleymoor.entry

import java.net.InetAddress
import java.net.ServerSocket
import kotlin.concurrent.thread

/** An endpoint that resets each connection as soon as it is open. */
internal class ResettingEndpoint : AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    val port: Int get() = server.localPort

    init {
        thread(isDaemon = true) {
            while (!server.isClosed) runCatching { server.accept().reset() }
        }
    }

    override fun close() {
        server.close()
    }

    private companion object {
        const val BACKLOG = 200
    }
}
