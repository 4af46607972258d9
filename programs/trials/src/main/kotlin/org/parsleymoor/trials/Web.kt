package org.parsleymoor.trials

import java.io.IOException
import java.io.UncheckedIOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpRequest.BodyPublishers
import java.net.http.HttpResponse.BodyHandlers
import java.time.Duration
import java.util.stream.Stream

/** A whole answer; [firstTokenMillis] is the time to the first streamed token, or 0 when none was streamed. */
internal data class WebAnswer(val status: Int, val body: String, val firstTokenMillis: Long = 0)

/**
 * Blocking HTTP calls of a caller or of the trial itself; each throws [java.io.IOException] when it breaks or has not
 * been answered within [callSeconds].
 */
internal class Web(private val callSeconds: Long = CALL_SECONDS) {
    private val http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1)
        .connectTimeout(Duration.ofSeconds(2)).build()

    fun get(url: String, headers: Map<String, String> = emptyMap()): WebAnswer =
        whole(request(url, headers).GET().build())

    fun post(url: String, body: String, headers: Map<String, String> = emptyMap()): WebAnswer =
        whole(request(url, headers).POST(BodyPublishers.ofString(body)).build())

    fun put(url: String, body: String): WebAnswer = whole(request(url).PUT(BodyPublishers.ofString(body)).build())

    /** Posts and reads a stream of events line by line. */
    fun stream(url: String, body: String, headers: Map<String, String>): WebAnswer {
        val begin = System.nanoTime()
        val request = request(url, headers).POST(BodyPublishers.ofString(body)).build()
        val response = http.send(request, BodyHandlers.ofLines())
        return try {
            response.body().use { lines -> events(response.statusCode(), lines, begin) }
        } catch (broken: UncheckedIOException) {
            throw IOException("the stream broke off", broken)
        }
    }

    private fun events(status: Int, lines: Stream<String>, begin: Long): WebAnswer {
        var first = 0L
        val text = StringBuilder()
        lines.forEach { line ->
            if (first == 0L && line.startsWith("data:")) first = (System.nanoTime() - begin) / NANOS_PER_MILLI
            text.append(line).append('\n')
        }
        return WebAnswer(status, text.toString(), first)
    }

    private fun whole(request: HttpRequest): WebAnswer {
        val response = http.send(request, BodyHandlers.ofString())
        return WebAnswer(response.statusCode(), response.body())
    }

    private fun request(url: String, headers: Map<String, String> = emptyMap()): HttpRequest.Builder {
        val builder = HttpRequest.newBuilder(URI(url)).timeout(Duration.ofSeconds(callSeconds))
        headers.forEach { (name, value) -> builder.header(name, value) }
        return builder
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
        const val CALL_SECONDS = 20L
    }
}
