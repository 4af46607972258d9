package org.parsleymoor.peering

import com.github.michaelbull.result.get
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.Test
import org.parsleymoor.core.Incarnation
import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.RegionId
import org.parsleymoor.core.ZoneId
import strikt.api.expectThat
import strikt.assertions.isNotNull

/** Guards against a connection that stays open unread after the handler of its messages has thrown an exception. */
class FailingHandlerTest {
    @Test
    fun `a connection whose handler throws is closed, so that the peer opens a new one`(): Unit = runBlocking {
        node("a").use { server ->
            val port = server.start("127.0.0.1", 0)
            node("b").use { client ->
                client.start("127.0.0.1", 0)
                val link = requireNotNull(client.connect(InstanceId("a"), "127.0.0.1:$port").get())
                link.send(PeerMessage.ObjectsWanted("ENDPOINTS", 1))
                withTimeout(5_000) { while (link.failure == null) delay(10) }
                expectThat(client.connect(InstanceId("a"), "127.0.0.1:$port").get()).isNotNull()
            }
        }
    }

    private fun node(name: String): PeerNode {
        val identity = PeerIdentity(Incarnation(InstanceId(name), 1), ZoneId("z"), RegionId("r"))
        return PeerNode(identity, ThrowingHandler(), PeerOptions(silenceMillis = 60_000))
    }

    private class ThrowingHandler : PeerHandler {
        override suspend fun onConnectionMessage(link: PeerLink, message: PeerMessage): Unit = error("a fault")

        override suspend fun onExchange(exchange: PeerExchange, opening: PeerMessage.ExchangeMessage) = Unit
    }
}
