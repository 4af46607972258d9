package org.parsleymoor.entry

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import org.parsleymoor.relay.routing.RequestKind
import org.parsleymoor.relay.routing.Route
import org.parsleymoor.relay.routing.RouteTarget
import org.parsleymoor.relay.routing.ServingConfiguration
import strikt.api.Assertion
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.endsWith
import strikt.assertions.isEqualTo
import strikt.assertions.startsWith
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.atomic.AtomicInteger

/** Guards against requests that are lost because the configuration changes while they are being read or served. */
class ConfigurationChangeTest {
    /** What a new version of the configuration does to the route of a request under way. */
    enum class Change(internal val apply: (RelayHarness) -> Unit) {
        ROUTE_REMOVED({ harness -> harness.configure { it.copy(routes = emptyList()) } }),
        ONE_ATTEMPT({ harness -> harness.changeRoute { it.copy(attempts = 1) } }),
        SHORT_TIMEOUT({ harness -> harness.changeRoute { it.copy(timeoutMillis = 100) } }),
        NOT_RESUMABLE({ harness -> harness.changeRoute { it.copy(resumable = false) } }),
        OTHER_SERVICE({ harness ->
            harness.configure { configuration ->
                val other = configuration.services.getValue("s").copy(name = "other")
                configuration.withRoute { it.copy(targets = listOf(RouteTarget("other", 1.0))) }
                    .copy(services = mapOf("other" to other))
            }
        }),
        ENDPOINTS_MOVED({ harness -> harness.moveEndpoints("other") }),
        ONE_CONNECTION({ harness -> harness.limitConnections(1) }),
        KEY_REVOKED({ harness -> harness.configure { it.copy(organisations = emptyList()) } }),
        SMALL_LIMITS({ harness ->
            harness.limits = harness.limits.copy(headBytes = 16, bodyBytes = 1, headMillis = 1, idleMillis = 1)
        }),
    }

    // A request that had been passed on got no answer.
    @ParameterizedTest
    @EnumSource
    fun `answers a request whose route changes while an endpoint serves it`(change: Change) {
        val arrived = CountDownLatch(1)
        val changed = CountDownLatch(1)
        val endpoint = ScriptedEndpoint { socket, _, _ ->
            arrived.countDown()
            changed.await()
            socket.send(COMPLETE)
        }
        RelayHarness(endpoint).use { harness ->
            val answer = harness.exchangeWith(arrived, changed, change, relayRequest())
            expectThat(answer).startsWith("HTTP/1.1 200").endsWith("ok")
        }
    }

    // A retry asked for a route or service that was gone.
    @ParameterizedTest
    @EnumSource
    fun `answers or refuses a request whose route changes before it is retried`(change: Change) {
        val arrived = CountDownLatch(1)
        val changed = CountDownLatch(1)
        val received = AtomicInteger()
        val endpoints = List(2) {
            ScriptedEndpoint { socket, _, _ ->
                if (received.incrementAndGet() == 1) {
                    arrived.countDown()
                    changed.await()
                    socket.reset()
                } else {
                    socket.send(COMPLETE)
                }
            }
        }
        RelayHarness(*endpoints.toTypedArray(), kind = RequestKind.IDEMPOTENT).use { harness ->
            expectThat(harness.exchangeWith(arrived, changed, change, relayRequest())).isAnswer()
        }
    }

    // A stream was closed in the middle although its endpoint went on.
    @ParameterizedTest
    @EnumSource
    fun `relays a stream to its end when its route changes in the middle`(change: Change) {
        val arrived = CountDownLatch(1)
        val changed = CountDownLatch(1)
        val endpoint = ScriptedEndpoint { socket, _, _ ->
            socket.send(STREAM_HEAD + event(1, "a"))
            arrived.countDown()
            changed.await()
            Thread.sleep(200)
            socket.send(event(2, "b") + STREAM_END)
        }
        RelayHarness(endpoint, kind = RequestKind.STREAM, resumable = true, timeoutMillis = 6_000).use { harness ->
            val answer = harness.exchangeWith(arrived, changed, change, relayRequest(PROMPT_FIELDS))
            expectThat(answer).contains("data: a").contains("data: b").endsWith(STREAM_END)
        }
    }

    // A stream at a silent endpoint was lost when the change came while its successor was running.
    @ParameterizedTest
    @EnumSource
    fun `keeps a silent stream when its route changes while a successor is running`(change: Change) {
        val arrived = CountDownLatch(1)
        val changed = CountDownLatch(1)
        val received = AtomicInteger()
        val endpoints = List(2) {
            ScriptedEndpoint { socket, _, _ ->
                if (received.incrementAndGet() == 1) {
                    socket.send(STREAM_HEAD + event(1, "a"))
                    Thread.sleep(SILENCE_MILLIS)
                    socket.send(event(2, "b") + STREAM_END)
                } else {
                    arrived.countDown()
                    changed.await()
                    socket.send("HTTP/1.1 503 Full\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
                }
            }
        }
        val harness = RelayHarness(
            *endpoints.toTypedArray(),
            kind = RequestKind.STREAM,
            resumable = true,
            timeoutMillis = 6_000,
        )
        harness.use {
            val answer = it.exchangeWith(arrived, changed, change, relayRequest(PROMPT_FIELDS))
            expectThat(answer).contains("data: a").contains("data: b").endsWith(STREAM_END)
        }
    }

    // A stream whose endpoint had ended asked for a route that was gone before it was resumed.
    @ParameterizedTest
    @EnumSource(names = ["ENDPOINTS_MOVED"], mode = EnumSource.Mode.EXCLUDE)
    fun `resumes a stream when its route changes before its endpoint ends`(change: Change) {
        val arrived = CountDownLatch(1)
        val changed = CountDownLatch(1)
        val received = AtomicInteger()
        val endpoints = List(2) {
            ScriptedEndpoint { socket, _, _ ->
                if (received.incrementAndGet() == 1) {
                    socket.send(STREAM_HEAD + event(1, "a"))
                    arrived.countDown()
                    changed.await()
                    socket.reset()
                } else {
                    socket.send(STREAM_HEAD + event(2, "b") + STREAM_END)
                }
            }
        }
        val harness = RelayHarness(
            *endpoints.toTypedArray(),
            kind = RequestKind.STREAM,
            resumable = true,
            timeoutMillis = 6_000,
        )
        harness.use {
            val answer = it.exchangeWith(arrived, changed, change, relayRequest(PROMPT_FIELDS))
            expectThat(answer).contains("data: a").contains("data: b").endsWith(STREAM_END)
        }
    }

    // A request that waited for an endpoint asked for a route or service that was gone.
    @ParameterizedTest
    @EnumSource
    fun `answers or refuses a request whose route changes while all endpoints are in a pause`(change: Change) {
        val arrived = CountDownLatch(1)
        val changed = CountDownLatch(1)
        val endpoint = ScriptedEndpoint { socket, number, _ ->
            val paused = "HTTP/1.1 503 Later\r\nId: 1\r\nNot-Run: 1\r\nRetry-After: 0.05\r\nContent-Length: 0\r\n\r\n"
            socket.send(if (number == 1) paused else COMPLETE)
        }
        RelayHarness(endpoint, kind = RequestKind.IDEMPOTENT).use { harness ->
            harness.exchange(relayRequest())
            arrived.countDown()
            expectThat(harness.exchangeWith(arrived, changed, change, relayRequest())).isAnswer()
        }
    }

    // A body under way was judged by limits that came into force after its head had been read.
    @ParameterizedTest
    @EnumSource
    fun `answers or refuses a request whose route changes while its body arrives`(change: Change) {
        val endpoint = ScriptedEndpoint { socket, _, _ -> socket.send(COMPLETE) }
        RelayHarness(endpoint).use { harness ->
            harness.caller().use { socket ->
                socket.send(relayRequest().replace("Content-Length: 0", "Content-Length: 2000") + "x".repeat(500))
                Thread.sleep(100)
                change.apply(harness)
                socket.send("x".repeat(1_500))
                expectThat(socket.readAll()).isAnswer()
            }
        }
    }

    // A kept connection was closed without an answer to the request that followed the change.
    @ParameterizedTest
    @EnumSource
    fun `answers or refuses the next request on a kept connection after a change`(change: Change) {
        val endpoint = ScriptedEndpoint { socket, _, _ -> socket.send(COMPLETE) }
        RelayHarness(endpoint).use { harness ->
            harness.caller().use { socket ->
                socket.send(relayRequest().replace("Connection: close\r\n", ""))
                expectThat(String(socket.getInputStream().readNBytes(COMPLETE.length)).lines().first())
                    .isEqualTo("HTTP/1.1 200 OK")
                change.apply(harness)
                socket.send(relayRequest())
                expectThat(socket.readAll()).isAnswer()
            }
        }
    }

    private fun RelayHarness.exchangeWith(
        arrived: CountDownLatch,
        changed: CountDownLatch,
        change: Change,
        request: String,
    ): String = caller().use { socket ->
        socket.soTimeout = CALLER_MILLIS
        socket.send(request)
        arrived.await()
        change.apply(this)
        changed.countDown()
        socket.readAll()
    }

    private fun Socket.readAll() = String(getInputStream().readAllBytes())

    private fun Assertion.Builder<String>.isAnswer() = assert("is a complete answer or refusal") { text ->
        val length = Regex("Content-Length: (\\d+)").find(text)?.groupValues?.get(1)?.toInt()
        val body = text.substringAfter("\r\n\r\n", "")
        if (text.startsWith("HTTP/1.1 ") && length == body.length) pass() else fail(text)
    }

    private companion object {
        const val COMPLETE = "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s1\r\nContent-Length: 2\r\n\r\nok"
        const val SILENCE_MILLIS = 3_000L
        const val CALLER_MILLIS = 8_000
    }
}

private fun ServingConfiguration.withRoute(change: (Route) -> Route) = copy(routes = routes.map(change))

private fun RelayHarness.changeRoute(change: (Route) -> Route) = configure { it.withRoute(change) }
