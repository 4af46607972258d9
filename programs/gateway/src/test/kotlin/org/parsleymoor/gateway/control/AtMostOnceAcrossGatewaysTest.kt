package org.parsleymoor.gateway.control

import io.vertx.core.buffer.Buffer
import io.vertx.ext.web.client.HttpResponse
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import org.parsleymoor.standins.PlatformFaults
import org.parsleymoor.standins.ServiceFaults
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan

@Timeout(60)
class AtMostOnceAcrossGatewaysTest {
    private val gateways = ThreeGateways()

    @BeforeEach
    fun start() = runBlocking { gateways.start() }

    @AfterEach
    fun close() = gateways.close()

    /** A key that is repeated at another gateway must neither run again nor get another answer (I8). */
    @Test
    fun `a repeated key gets the same answer through every gateway`(): Unit = runBlocking {
        val key = gateways.keyOwnedBy(1)

        val answers = (0..2).map { gateways.pay(it, key) }

        expectThat(answers.map { it.statusCode() }).isEqualTo(List(3) { 200 })
        expectThat(answers.map { it.bodyAsString() }.distinct()).hasSize(1)
        expectThat(gateways.journal()).hasSize(1)
    }

    /** Another gateway must not run the key again with a different body. */
    @Test
    fun `a key repeated with another body through another gateway is refused`(): Unit = runBlocking {
        val key = gateways.keyOwnedBy(1)
        gateways.pay(0, key)

        val answer = gateways.pay(2, key, body = "6")

        expectThat(answer.statusCode()).isEqualTo(422)
        expectThat(gateways.journal()).hasSize(1)
    }

    /** A new key that arrives at two gateways at once must not run at each of them. */
    @Test
    fun `a new key at two gateways at once runs once`(): Unit = runBlocking {
        val keys = (0..2).map { gateways.keyOwnedBy(it, "album") }

        val answers = keys.map { key -> listOf(0, 2).map { async { gateways.pay(it, key) } } }.flatten().awaitAll()

        expectThat(answers.map { it.statusCode() }).isEqualTo(List(6) { 200 })
        expectThat(gateways.journal().map { it.key }.sorted()).isEqualTo(keys.sorted())
    }

    /** Guards against a ticket that only its issuer accepts. */
    @Test
    fun `a ticket runs once through any gateway`(): Unit = runBlocking {
        val ticket = gateways.ticketOf(0)

        val answers = listOf(1, 2, 0).map { gateways.pay(it, ticket) }

        expectThat(answers.map { it.statusCode() }).isEqualTo(List(3) { 200 })
        expectThat(answers.map { it.bodyAsString() }.distinct()).hasSize(1)
        expectThat(gateways.journal()).hasSize(1)
    }

    /** Guards against a second run by a restarted process that has no record of the first. */
    @Test
    fun `a ticket whose issuer has restarted is unknown`(): Unit = runBlocking {
        val ticket = gateways.ticketOf(0)
        gateways.pay(1, ticket)
        gateways.stopGateway(0)
        gateways.startGateway(0)
        delay(SETTLE_MILLIS)

        val answers = (0..2).map { gateways.pay(it, ticket) }

        expectThat(answers.map { it.execution() }).isEqualTo(List(3) { "unknown" })
        expectThat(gateways.journal()).hasSize(1)
    }

    /** Guards against a refusal that tells callers to retry a ticket that no process can run any more. */
    @Test
    fun `a ticket whose issuer has left is unknown`(): Unit = runBlocking {
        val ticket = gateways.ticketOf(0)
        gateways.stopGateway(0)

        val answer = gateways.pay(1, ticket)

        expectThat(answer.execution()).isEqualTo("unknown")
        expectThat(gateways.journal()).hasSize(0)
    }

    /** Guards against a second run, or a wrong `not_run`, when the owner is lost after the call was sent to it. */
    @Test
    fun `a call whose owner is cut off while it runs is unknown and never runs again`(): Unit = runBlocking {
        val key = gateways.keyOwnedBy(1)
        gateways.serviceFaults(ServiceFaults(delayMillis = 1_000))
        val first = async { gateways.pay(0, key) }
        delay(CALL_SENT_MILLIS)
        gateways.stopGateway(1)

        val answers = listOf(first.await(), gateways.pay(0, key), gateways.pay(2, key))

        expectThat(answers.map { it.execution() }).isEqualTo(List(3) { "unknown" })
        delay(CALL_ENDS_MILLIS)
        expectThat(gateways.journal().size).isLessThan(2)
    }

    /** Guards against keys that are unusable while the owner of their shard is down. */
    @Test
    fun `a new key whose owner is down is claimed by the gateway that received the call`(): Unit = runBlocking {
        val key = gateways.keyOwnedBy(1)
        gateways.stopGateway(1)

        val answers = listOf(0, 2).map { gateways.pay(it, key) }

        expectThat(answers.map { it.statusCode() }).isEqualTo(List(2) { 200 })
        expectThat(gateways.journal()).hasSize(1)
    }

    /** Guards against a run without a claim, and against tickets that depend on the platform. */
    @Test
    fun `tickets run and caller keys are refused as not run while the platform is down`(): Unit = runBlocking {
        val key = gateways.keyOwnedBy(1)
        gateways.platformFaults(PlatformFaults(down = true))

        val own = (0..2).map { gateways.pay(it, key) }
        val ticket = gateways.pay(1, gateways.ticketOf(0))

        expectThat(own.map { it.execution() }).isEqualTo(List(3) { "not_run" })
        expectThat(own.map { it.getHeader("Retry-After") }).isEqualTo(List(3) { "1" })
        expectThat(ticket.statusCode()).isEqualTo(200)
        expectThat(gateways.journal()).hasSize(1)
    }

    /** Guards against a caller that cannot learn the outcome of its call because the platform failed afterwards. */
    @Test
    fun `a key that ran before the platform failed is answered through every gateway`(): Unit = runBlocking {
        val key = gateways.keyOwnedBy(1)
        val first = gateways.pay(0, key)
        gateways.platformFaults(PlatformFaults(down = true))

        val answers = (0..2).map { gateways.pay(it, key) }

        expectThat(answers.map { it.bodyAsString() }).isEqualTo(List(3) { first.bodyAsString() })
        expectThat(gateways.journal()).hasSize(1)
    }

    /** Guards against a key that is refused, or run twice, because the response to its claim was lost. */
    @Test
    fun `a call runs once when the platform's answer to its claim is lost`(): Unit = runBlocking {
        val key = gateways.keyOwnedBy(1)
        gateways.platformFaults(PlatformFaults(loseWriteResponses = 1))

        val answers = listOf(0, 2).map { gateways.pay(it, key) }

        expectThat(answers.map { it.statusCode() }).isEqualTo(List(2) { 200 })
        expectThat(gateways.journal()).hasSize(1)
    }

    /** Guards against an oversized frame: the default body limit equals the frame limit. */
    @Test
    fun `a body of the maximum size is forwarded`(): Unit = runBlocking {
        val answer = gateways.pay(0, gateways.ticketOf(2), body = "x".repeat(MAXIMUM_BODY_BYTES))

        expectThat(answer.statusCode()).isEqualTo(200)
        expectThat(gateways.journal()).hasSize(1)
    }

    /** Guards against one platform write per call under load; prints the measured ratios. */
    @Test
    fun `claims of concurrent calls share writes`(): Unit = runBlocking {
        val perCall = CONCURRENCIES.associateWith { writesPerCall(it) }

        println("platform writes per keyed call, three gateways: $perCall")
        expectThat(perCall.getValue(BOUNDED_CONCURRENCY)).isLessThan(1.0)
    }

    private suspend fun writesPerCall(concurrency: Int): Double = coroutineScope {
        val before = gateways.platformWrites()
        val rounds = maxOf(2, CALLS / concurrency)
        List(concurrency) { caller ->
            async {
                repeat(rounds) {
                    val answer = gateways.pay((caller + it) % 3, "load-$concurrency-$caller-$it")
                    expectThat(answer.statusCode()).isEqualTo(200)
                }
            }
        }.awaitAll()
        (gateways.platformWrites() - before).toDouble() / (concurrency * rounds)
    }

    private fun HttpResponse<Buffer>.execution(): String? =
        Regex("\"execution\":\"(\\w+)\"").find(bodyAsString())?.groupValues?.get(1)

    private companion object {
        const val SETTLE_MILLIS = 2_500L
        const val CALL_SENT_MILLIS = 500L
        const val CALL_ENDS_MILLIS = 1_500L
        const val MAXIMUM_BODY_BYTES = 4_194_304
        const val CALLS = 200
        const val BOUNDED_CONCURRENCY = 64
        val CONCURRENCIES = listOf(1, 8, 64, 256)
    }
}
