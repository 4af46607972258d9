package org.parsleymoor.standins

import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.Test
import org.parsleymoor.clients.WatchEvent

/** Guards against watches that end, or wait without end, because their HTTP client was garbage collected. */
class WatchLinesTest {
    @Test
    fun `a watch outlives garbage collections`(): Unit = runBlocking {
        val vertx = Vertx.vertx()
        val port = PlatformStandIn(vertx, PlatformSettings(heartbeatMillis = 20)).start()
        val collecting = launch {
            while (isActive) {
                System.gc()
                delay(1)
            }
        }
        repeat(WATCHES) {
            val lines = WatchLines(vertx, port)
            withTimeout(EVENT_MILLIS) { lines.next { it is WatchEvent.Heartbeat } }
            lines.close()
        }
        collecting.cancel()
        vertx.close().coAwait()
    }

    private companion object {
        const val WATCHES = 30
        const val EVENT_MILLIS = 5_000L
    }
}
