package org.parsleymoor.entry

import org.junit.jupiter.api.Test
import org.parsleymoor.relay.routing.RequestKind
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isLessThan
import strikt.assertions.matches
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import kotlin.system.measureTimeMillis

/** Guards against requests that wait for a connection whose end went unnoticed while it was being opened. */
class ResetConnectionsTest {
    // An endpoint that has too many connections resets the next ones as soon as they are open.
    @Test
    fun `answers at once when an endpoint resets each connection as it opens`() {
        ResettingEndpoint().use { endpoint ->
            val harness = RelayHarness(kind = RequestKind.IDEMPOTENT, timeoutMillis = TIMEOUT_MILLIS)
            harness.addEndpoint("resetting", endpoint.port)
            harness.use {
                val callers = Executors.newFixedThreadPool(CALLERS)
                val results = callers.invokeAll(
                    List(REQUESTS) { Callable { harness.timedExchange() } }
                ).map { it.get() }
                callers.shutdown()
                expectThat(results.map { it.first }).all { matches(Regex("HTTP/1.1 50[23] .*")) }
                expectThat(results.maxOf { it.second }).isLessThan(TIMEOUT_MILLIS / 2)
            }
        }
    }

    private fun RelayHarness.timedExchange(): Pair<String, Long> {
        var answer = ""
        val millis = measureTimeMillis { answer = exchange(relayRequest(waitMillis = TIMEOUT_MILLIS)) }
        return answer.lines().first() to millis
    }

    private companion object {
        const val TIMEOUT_MILLIS = 6_000L
        const val CALLERS = 20
        const val REQUESTS = 600
    }
}
