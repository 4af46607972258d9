package org.parsleymoor.entry

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import org.parsleymoor.core.Clock
import org.parsleymoor.entry.RelayHarness.Companion.GRACE_MILLIS
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import java.io.IOException
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.concurrent.thread
import kotlin.random.Random

/** Requests that may not be repeated, sent over the whole grace period with deadlines shorter and longer than it. */
class PlannedStopTrafficTest {
    private val answers = ConcurrentHashMap<String, List<Int>>()

    /** Deadlines of the requests that were refused because the instance stops. */
    private val stopped = ConcurrentHashMap<String, Long>()
    private var stopMillis = 0L
    private val unanswered = ConcurrentLinkedQueue<String>()

    // A request was cut off while its endpoint worked on it, or its caller was told that it had not run.
    @ParameterizedTest
    @ValueSource(longs = [1, 2])
    fun `gives each request one complete answer and runs none that it refuses`(seed: Long) {
        val endpoints = Array(3) { number -> answeringLate(Random(seed * 10 + number)) }
        RelayHarness(*endpoints, timeoutMillis = 20_000).use { harness ->
            val callers = List(CALLERS) { number -> thread { call(harness, "$number", Random(seed * 100 + number)) } }
            Thread.sleep(WARM_UP_MILLIS)
            stopMillis = Clock.System.nowMillis()
            val stopping = harness.stop()
            callers.forEach { it.join() }
            while (stopping.isActive) Thread.sleep(20)
        }
        val runs = endpoints.flatMap { endpoint -> endpoint.requests.map { idOf(it) } }
        val refused = answers.filterValues { it == listOf(REFUSED) }.keys
        expectThat(answers.values.filter { it.size != 1 }).isEmpty()
        expectThat(unanswered.filter { it in runs }).isEmpty()
        expectThat(refused.filter { it in runs }).isEmpty()
        expectThat(runs.groupBy { it }.filterValues { it.size > 1 }.keys).isEmpty()
        expectThat(refused.size).isGreaterThan(0)
        expectThat(answers.values.count { it == listOf(SERVED) }).isGreaterThan(CALLERS)
        expectThat(stopped.filterValues { it < stopMillis + GRACE_MILLIS * 5 / 6 }).isEmpty()
        expectThat(unanswered.size).isLessThanOrEqualTo(CALLERS)
        expectThat(runs.toSet() - answers.keys).hasSize(0)
    }

    private fun answeringLate(random: Random) = ScriptedEndpoint { socket, _, request ->
        Thread.sleep(if (random.nextInt(10) == 0) random.nextLong(4_000) else random.nextLong(300))
        socket.send("HTTP/1.1 200 OK\r\nId: ${idOf(request)}\r\nSeal: s1\r\nContent-Length: 2\r\n\r\nok")
    }

    /** Sends requests until the harness accepts no more, each on the connection before or on a new one. */
    private fun call(harness: RelayHarness, caller: String, random: Random) {
        var number = 0
        var socket: Socket? = null
        while (true) {
            val id = "$caller-${number++}"
            val connection = socket?.takeUnless { it.isClosed }
                ?: runCatching { harness.caller() }.getOrNull()
                ?: break
            connection.soTimeout = 2 * GRACE_MILLIS.toInt()
            val open = exchange(connection, id, waitMillis = random.nextLong(300, 9_000), random)
            socket = if (open && random.nextBoolean()) connection else null.also { connection.close() }
            Thread.sleep(random.nextLong(60))
        }
    }

    /** Returns whether the connection stays open. */
    private fun exchange(socket: Socket, id: String, waitMillis: Long, random: Random): Boolean {
        val head = "POST /r/x HTTP/1.1\r\nHost: h\r\nId: $id\r\nWait: $waitMillis\r\nAuthorization: Key secret\r\n" +
            "Content-Length: 4\r\n\r\n"
        val deadlineMillis = Clock.System.nowMillis() + waitMillis + MAX_BODY_DELAY_MILLIS
        val response = try {
            socket.send(head + "bo")
            if (random.nextInt(3) == 0) Thread.sleep(random.nextLong(MAX_BODY_DELAY_MILLIS))
            socket.send("dy")
            socket.readRequest()
        } catch (_: IOException) {
            null
        }
        if (response.orEmpty().contains("shutting down")) stopped[id] = deadlineMillis
        if (response == null) unanswered += id else answers.merge(id, listOf(statusOf(response)), List<Int>::plus)
        return response != null && !response.contains("Connection: close")
    }

    private fun statusOf(response: String): Int = response.substringAfter(' ').substringBefore(' ').toInt()

    private fun idOf(request: String): String = Regex("Id: (\\S+)").find(request)?.groupValues?.get(1).orEmpty()

    private companion object {
        const val CALLERS = 12
        const val WARM_UP_MILLIS = 400L
        const val MAX_BODY_DELAY_MILLIS = 200L
        const val SERVED = 200
        const val REFUSED = 503
    }
}
