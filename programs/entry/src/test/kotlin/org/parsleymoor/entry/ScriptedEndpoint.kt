package org.parsleymoor.entry

import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import kotlin.concurrent.thread

/** Reads a request head and a body of the stated length from this socket; returns null at the end of input. */
internal fun Socket.readRequest(): String? {
    val head = readHead() ?: return null
    return head + String(getInputStream().readNBytes(bodyLength(head)))
}

/** Returns the length that [head] states for its body. */
internal fun bodyLength(head: String): Int =
    Regex("Content-Length: (\\d+)", RegexOption.IGNORE_CASE).find(head)?.groupValues?.get(1)?.toInt() ?: 0

private fun Socket.readHead(): String? {
    val text = StringBuilder()
    while (!text.endsWith("\r\n\r\n")) {
        val byte = getInputStream().read()
        if (byte < 0) return null
        text.append(byte.toChar())
    }
    return text.toString()
}

/**
 * An endpoint that responds to each request with what [script] writes to the raw socket. The script gets the socket,
 * the number of the request counted from 1, and its text; unless it [readsBodies], it reads the body itself. Its
 * connections buffer about [receiveBufferBytes], when that is set.
 */
internal class ScriptedEndpoint(
    private val script: (Socket, Int, String) -> Unit,
    private val readsBodies: Boolean,
    receiveBufferBytes: Int? = null,
) : AutoCloseable {
    constructor(script: (Socket, Int, String) -> Unit) : this(script, readsBodies = true)

    private val server = ServerSocket().apply {
        receiveBufferBytes?.let { receiveBufferSize = it }
        bind(InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
    }
    val requests = CopyOnWriteArrayList<String>()
    val connectionEnded = CountDownLatch(1)
    val port: Int get() = server.localPort

    init {
        thread(isDaemon = true) {
            while (!server.isClosed) {
                val socket = runCatching { server.accept() }.getOrNull() ?: break
                thread(isDaemon = true) { runCatching { serve(socket) } }
            }
        }
    }

    override fun close() {
        server.close()
    }

    private fun serve(socket: Socket) {
        try {
            while (true) {
                val request = (if (readsBodies) socket.readRequest() else socket.readHead()) ?: break
                requests += request
                script(socket, requests.size, request)
            }
        } finally {
            connectionEnded.countDown()
        }
    }
}

internal fun Socket.send(text: String) {
    getOutputStream().write(text.toByteArray())
    getOutputStream().flush()
}

/** Sends [text] repeatedly until the peer closes the connection. */
internal fun Socket.sendForever(text: String) {
    while (true) send(text)
}

/** Closes this socket with a reset. */
internal fun Socket.reset() {
    setSoLinger(true, 0)
    close()
}
