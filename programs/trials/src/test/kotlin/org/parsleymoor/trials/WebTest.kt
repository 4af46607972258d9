package org.parsleymoor.trials

import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import org.junit.jupiter.api.assertThrows
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread

/** Guards against a broken stream that ends the trial, where it should count as one broken call. */
@Timeout(30)
class WebTest {
    @Test
    fun `a stream that breaks off fails as a broken connection`() {
        ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { server ->
            val sender = thread { server.accept().use { breakOff(it) } }
            assertThrows<IOException> { Web().stream("http://127.0.0.1:${server.localPort}/", "{}", emptyMap()) }
            sender.join()
        }
    }

    /** Leaves time to read the first event, so that the break comes within the body. */
    private fun breakOff(socket: Socket) {
        socket.getInputStream().read()
        socket.getOutputStream().write(BEGINNING.toByteArray())
        Thread.sleep(READ_MILLIS)
    }

    private companion object {
        const val READ_MILLIS = 500L
        val BEGINNING = listOf("HTTP/1.1 200 OK", "Transfer-Encoding: chunked", "", "9", "data: {}\n", "")
            .joinToString("\r\n")
    }
}
