package org.parsleymoor.gateway

import io.vertx.core.VertxOptions
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.startsWith
import java.net.Socket
import kotlin.concurrent.thread

@Timeout(30)
class PausedGatewayTest {
    private val harness = GatewayHarness()

    @AfterEach
    fun close() = harness.close()

    /** Guards against closing connections, on resuming, whose requests arrived in time but were not read yet. */
    @Test
    fun `a request that arrives while the gateway is paused for longer than a sender may wait is answered`(): Unit =
        runBlocking {
            harness.start(GatewayHarness.configuration())
            val answer = withContext(Dispatchers.IO) {
                Socket("127.0.0.1", harness.ports.callers).use { socket ->
                    socket.soTimeout = GatewayHarness.LIMIT_MILLIS.toInt()
                    // One answered request shows that the connection has been accepted.
                    socket.ask()
                    pauseEventLoops()
                    socket.ask()
                }
            }
            expectThat(answer).startsWith("HTTP/1.1 200")
        }

    private fun Socket.ask(): String {
        val head = "GET /v1/models HTTP/1.1\r\nHost: gateway\r\nAuthorization: Bearer ${GatewayHarness.KEY}\r\n\r\n"
        getOutputStream().write(head.toByteArray())
        val bytes = ByteArray(ANSWER_BYTES)
        val count = getInputStream().read(bytes)
        return if (count < 0) "" else bytes.decodeToString(0, count)
    }

    /**
     * Makes every event loop run the time limit of a sender (400 ms here) before it reads, as after SIGCONT: two tasks
     * block it one after the other, both limits have passed when the second begins, and it returns during the second.
     */
    private fun pauseEventLoops() {
        repeat(VertxOptions.DEFAULT_EVENT_LOOP_POOL_SIZE) {
            thread { harness.vertx.getOrCreateContext().runOnContext { block() } }.join()
        }
        Thread.sleep(PAUSE_MILLIS + SETTLE_MILLIS)
    }

    private fun block() {
        harness.vertx.setTimer(1) { Thread.sleep(PAUSE_MILLIS) }
        Thread.sleep(PAUSE_MILLIS)
    }

    private companion object {
        const val ANSWER_BYTES = 65_536
        const val PAUSE_MILLIS = 800L
        const val SETTLE_MILLIS = 200L
    }
}
