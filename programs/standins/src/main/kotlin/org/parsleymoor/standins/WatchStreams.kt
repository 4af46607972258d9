package org.parsleymoor.standins

import io.vertx.core.http.HttpServerResponse
import io.vertx.ext.web.RoutingContext
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.parsleymoor.clients.WatchEvent
import org.parsleymoor.clients.WireJson

/** The open watches. Each reports the changes of its kind at once and a heartbeat every [heartbeatMillis]. */
internal class WatchStreams(
    private val objects: ObjectTable,
    private val meter: CallMeter,
    private val heartbeatMillis: Long,
) {
    private val open = LinkedHashSet<Watch>()

    /** Answers [context] with a stream that starts after its `after` parameter. */
    fun open(context: RoutingContext, scope: CoroutineScope) {
        val after = context.request().getParam("after")?.toLongOrNull() ?: 0
        val response = context.response().setChunked(true).putHeader("Content-Type", "application/x-ndjson")
        val watch = Watch(context.pathParam("kind"), response, after)
        open += watch
        meter.watches(1)
        val heartbeats = scope.launch { beat(watch) }
        response.exceptionHandler { }
        response.closeHandler {
            heartbeats.cancel()
            if (open.remove(watch)) meter.watches(-1)
        }
    }

    /** Sends each watch the changes that it has not reported. */
    fun publish() {
        open.toList().forEach { it.report() }
    }

    /** Makes the watches that are open now report nothing more. */
    fun silenceAll() {
        open.forEach { it.silent = true }
    }

    /** Closes every watch. */
    fun closeAll() {
        open.toList().forEach { it.response.reset() }
    }

    private suspend fun beat(watch: Watch) {
        while (true) {
            watch.report()
            watch.send(WatchEvent.Heartbeat(objects.revision))
            delay(heartbeatMillis)
        }
    }

    private inner class Watch(val kind: String, val response: HttpServerResponse, var reported: Long) {
        var silent = false

        fun report() {
            if (silent) return
            objects.changes(kind, reported).forEach { send(it) }
            reported = maxOf(reported, objects.revision)
        }

        fun send(event: WatchEvent) {
            if (silent || response.closed()) return
            response.write(WireJson.encodeToString(WatchEvent.serializer(), event) + "\n")
        }
    }
}
