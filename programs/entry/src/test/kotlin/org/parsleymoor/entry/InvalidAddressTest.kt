package org.parsleymoor.entry

import com.github.michaelbull.result.getError
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import org.parsleymoor.core.Clock
import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.ZoneId
import org.parsleymoor.entry.control.Membership
import org.parsleymoor.entry.control.MembershipLoop
import org.parsleymoor.entry.control.toUpdate
import org.parsleymoor.entry.log.StructuredLog
import org.parsleymoor.entry.net.ConnectFailure
import org.parsleymoor.entry.net.ConnectionPool
import org.parsleymoor.entry.net.ControlClient
import org.parsleymoor.entry.protocol.ControlRequest
import org.parsleymoor.entry.protocol.ObjectKind
import org.parsleymoor.entry.serving.DeploymentView
import org.parsleymoor.peering.CacheStoreDigest
import org.parsleymoor.relay.exchange.Member
import org.parsleymoor.relay.fleet.SocketAddress
import org.parsleymoor.relay.limits.HeldBytes
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import java.io.OutputStream
import java.io.PrintStream

/** Addresses that no connection can be opened to, as another writer may leave them in an entry. */
@OptIn(ExperimentalCoroutinesApi::class)
class InvalidAddressTest {
    private val vertx = Vertx.vertx()
    private val pool = ConnectionPool(vertx.createNetClient(), Clock.System)

    @AfterEach
    fun close() {
        vertx.close().toCompletionStage().toCompletableFuture().join()
    }

    // An exception would end the request, or the poll of the endpoint, which then never happens again.
    @ParameterizedTest
    @MethodSource("unusable")
    fun `connecting to an invalid address is a typed failure`(address: SocketAddress) {
        runBlocking(vertx.orCreateContext.dispatcher()) {
            val failure = withTimeout(5_000) { pool.connect(address, 1, 2_000).getError() }
            expectThat(failure).isNotNull().isA<ConnectFailure>()
            // The failed attempt no longer counts towards the limit.
            expectThat(pool.connect(address, 1, 2_000).getError()).isNotNull().isA<ConnectFailure>()
                .and { get { this == ConnectFailure.AT_LIMIT }.isEqualTo(false) }
        }
    }

    @ParameterizedTest
    @MethodSource("unusable")
    fun `a control request to an invalid address is a typed failure`(address: SocketAddress) {
        runBlocking(vertx.orCreateContext.dispatcher()) {
            val failure = ControlClient(
                pool,
                HeldBytes(1_000_000)
            ).call(address, ControlRequest("GET", "/report"), 2_000).getError()
            expectThat(failure).isNotNull()
        }
    }

    @Test
    fun `only a host name or an address with a port from 1 to 65535 is parsed`() {
        val invalid = listOf("h:0", "h:65536", "h:-1", "h:x", "h:", "h", ":1", "", "h:99999999999", "a b:1", "a\n:1")
        (invalid + listOf("a..b:1", ".:1", "h\u0000:1", "ü:1", "${"a".repeat(300)}:1"))
            .forEach { expectThat(SocketAddress.parse(it)).isNull() }
        listOf("h:1", "10.0.0.1:65535", "a-b.c_d:80", "[::1]:80", "::1:80")
            .forEach { expectThat(SocketAddress.parse(it)).isNotNull() }
    }

    // A connection to such a member was attempted at each heartbeat, and ended with an exception each time.
    @Test
    fun `a member with an invalid peer address is not connected to`() = runTest {
        val memory = MemoryStore()
        memory.put(ObjectKind.MEMBERS, "odd", """{"address":"10.0.0.1:70000","beats":1,"zone":"a"}""")
        memory.put(ObjectKind.MEMBERS, "good", """{"address":"10.0.0.2:80","beats":1,"zone":"a"}""")
        val membership = Membership(Member(InstanceId("self"), "10.0.0.3:80", ZoneId("a")))
        val log = StructuredLog(Clock { currentTime }, "test", PrintStream(OutputStream.nullOutputStream()))
        val deployment = DeploymentView(InstanceId("self"))
        val loop = MembershipLoop(memory.store, deployment, membership, log, Clock { currentTime }, retryShare())
        backgroundScope.launch { loop.run() }
        advanceTimeBy(1_000)
        val neighbours = membership.tree.neighbours(emptySet(), currentTime).map { it.id.value }
        expectThat(neighbours).isEqualTo(listOf("good"))
    }

    @Test
    fun `changes of a cache store with an invalid address are ignored`() {
        listOf("10.0.0.1:70000", "10.0.0.1:x", "", "a b:1").forEach { address ->
            expectThat(CacheStoreDigest(address, 1, 1, 2, emptyList(), lost = true).toUpdate()).isNull()
        }
    }

    private companion object {
        @JvmStatic
        fun unusable(): List<SocketAddress> = listOf(
            SocketAddress("127.0.0.1", 70_000),
            SocketAddress("127.0.0.1", -1),
            SocketAddress("a..b", 80),
            SocketAddress("", 80),
            SocketAddress("a b", 80),
            SocketAddress("a\u0000", 80),
            SocketAddress("[::1", 80),
            SocketAddress("a".repeat(300), 80),
        )
    }
}
