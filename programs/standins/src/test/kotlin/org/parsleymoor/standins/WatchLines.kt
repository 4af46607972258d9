package org.parsleymoor.standins

import io.vertx.core.Vertx
import io.vertx.core.http.HttpMethod
import io.vertx.core.parsetools.RecordParser
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.runBlocking
import org.parsleymoor.clients.WatchEvent
import org.parsleymoor.clients.WireJson

/** Reads the events of one open watch of leases. */
internal class WatchLines(vertx: Vertx, port: Int) {
    // Vert.x closes a client that is garbage collected, together with its connections.
    private val client = vertx.createHttpClient()
    private val events = Channel<WatchEvent>(Channel.UNLIMITED)

    init {
        runBlocking {
            val request = client.request(HttpMethod.GET, port, "127.0.0.1", "/watch/leases").coAwait()
            request.response().onSuccess { response ->
                response.handler(
                    RecordParser.newDelimited("\n") {
                        events.trySend(WireJson.decodeFromString(WatchEvent.serializer(), it.toString()))
                    },
                )
            }
            request.end().coAwait()
        }
    }

    suspend fun next(accepts: (WatchEvent) -> Boolean): WatchEvent {
        while (true) {
            val event = events.receive()
            if (accepts(event)) return event
        }
    }

    /** Ends the watch. */
    suspend fun close() {
        client.close().coAwait()
    }
}
