package org.parsleymoor.peering

import com.github.michaelbull.result.getError
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import org.parsleymoor.core.Incarnation
import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.RegionId
import org.parsleymoor.core.ZoneId
import strikt.api.expectThat
import strikt.assertions.isA

/** Peer addresses that no connection can be opened to, as another writer may leave them in a member's record. */
class InvalidPeerAddressTest {
    // An exception is repeated at each heartbeat and never becomes a failure of the connection.
    @ParameterizedTest
    @ValueSource(
        strings = ["127.0.0.1:70000", "127.0.0.1:-1", "127.0.0.1:x", "127.0.0.1", "", ":80", "a..b:80", "a b:80"],
    )
    fun `connecting to an invalid address is a typed failure`(address: String): Unit = runBlocking {
        val identity = PeerIdentity(Incarnation(InstanceId("a"), 1), ZoneId("z"), RegionId("r"))
        PeerNode(identity, IgnoringHandler()).use { node ->
            node.start("127.0.0.1", 0)
            expectThat(node.connect(InstanceId("b"), address).getError()).isA<PeerFailure.NotConnected>()
        }
    }

    private class IgnoringHandler : PeerHandler {
        override suspend fun onConnectionMessage(link: PeerLink, message: PeerMessage) = Unit

        override suspend fun onExchange(exchange: PeerExchange, opening: PeerMessage.ExchangeMessage) = Unit
    }
}
