package org.parsleymoor.standins

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.mapBoth
import io.vertx.core.Vertx
import io.vertx.ext.web.Router
import io.vertx.ext.web.RoutingContext
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.builtins.nullable
import org.parsleymoor.clients.PlatformFailure
import org.parsleymoor.clients.StoredObject
import org.parsleymoor.core.Clock

/**
 * The platform's object service with its list of instances; `docs/platform-protocol.md` lists its calls. Objects live
 * in memory and last as long as the process.
 */
public class PlatformStandIn(
    vertx: Vertx,
    private val settings: PlatformSettings,
    private val clock: Clock = Clock.System,
) {
    private val objects = ObjectTable()
    private val instances = InstanceRoutes(settings, clock)
    private val meter = CallMeter(settings.readsPerSecond, settings.writesPerSecond)
    private val watches = WatchStreams(objects, meter, settings.heartbeatMillis)
    private val server = StandInServer(vertx, settings.host, settings.port, ::route)
    private var faults = PlatformFaults()

    /** Binds the port and suspends until it accepts connections; returns the bound port. */
    public suspend fun start(): Int = server.start()

    private fun route(router: Router, scope: CoroutineScope) {
        router.get("/objects/:kind/:name").handler { scope.launch { call(it, writes = false) { read(it) } } }
        router.put("/objects/:kind/:name").handler { scope.launch { call(it, writes = true) { write(it) } } }
        router.delete("/objects/:kind/:name").handler { scope.launch { call(it, writes = true) { delete(it) } } }
        router.get("/objects/:kind").handler { scope.launch { call(it, writes = false) { list(it) } } }
        router.get("/instances").handler { scope.launch { call(it, writes = false) { instances.list(it) } } }
        router.get("/watch/:kind").handler { scope.launch { call(it, writes = false) { watches.open(it, scope) } } }
        router.put("/instances").handler { instances.put(it) }
        router.delete("/instances/:name").handler { instances.remove(it) }
        router.get("/calls").handler { it.answer(CallCount.serializer(), meter.count) }
        router.get("/faults").handler { it.answer(PlatformFaults.serializer(), faults) }
        router.post("/faults").handler { setFaults(it) }
    }

    private suspend fun call(context: RoutingContext, writes: Boolean, answer: () -> Unit) {
        delay(settings.delayMillis + faults.delayMillis)
        val now = clock.nowMillis()
        when {
            server.isSilent(context) -> Unit
            faults.down -> context.drop()
            !(if (writes) meter.write(now) else meter.read(now)) ->
                context.response().setStatusCode(HttpStatus.TOO_MANY).end()
            else -> answer()
        }
    }

    private fun read(context: RoutingContext) {
        val stored = objects.read(context.pathParam("kind"), context.pathParam("name"))
        if (stored == null) {
            context.response().setStatusCode(HttpStatus.NOT_FOUND).end()
        } else {
            context.answer(StoredObject.serializer(), stored)
        }
    }

    private fun list(context: RoutingContext) {
        context.answer(ListSerializer(StoredObject.serializer()), objects.list(context.pathParam("kind")))
    }

    private fun write(context: RoutingContext) {
        val write = context.objectWrite()
        when {
            write == null -> context.response().setStatusCode(HttpStatus.BAD_REQUEST)
                .end("expected the parameters expectedVersion (a number) and writeId")
            context.body().length() > settings.maximumValueBytes -> context.response()
                .setStatusCode(HttpStatus.TOO_LARGE)
                .end("expected a value of at most ${settings.maximumValueBytes} bytes")
            else -> finish(context, objects.write(write)) {
                answer(StoredObject.serializer(), it.copy(value = ""))
            }
        }
    }

    private fun delete(context: RoutingContext) {
        val expected = context.request().getParam("expectedVersion")?.toLongOrNull() ?: 0
        val result = objects.delete(context.pathParam("kind"), context.pathParam("name"), expected)
        finish(context, result) { response().setStatusCode(HttpStatus.NO_CONTENT).end() }
    }

    private fun <T> finish(
        context: RoutingContext,
        result: Result<T, PlatformFailure.Conflict>,
        success: RoutingContext.(T) -> Unit,
    ) {
        watches.publish()
        if (faults.loseWriteResponses > 0) {
            faults = faults.copy(loseWriteResponses = faults.loseWriteResponses - 1)
            context.drop()
            return
        }
        result.mapBoth({ context.success(it) }) {
            context.answer(StoredObject.serializer().nullable, it.current, HttpStatus.CONFLICT)
        }
    }

    private fun setFaults(context: RoutingContext) {
        faults = context.readBody(PlatformFaults.serializer()) ?: return
        if (faults.down) watches.closeAll()
        if (faults.silenceOpenWatches) watches.silenceAll()
        if (faults.silenceOpenConnections) server.silenceOpenConnections()
        context.answer(PlatformFaults.serializer(), faults)
    }
}

private fun RoutingContext.objectWrite(): ObjectWrite? {
    val version = request().getParam("expectedVersion")?.toLongOrNull()
    val writeId = request().getParam("writeId")
    if (version == null || writeId == null) return null
    return ObjectWrite(pathParam("kind"), pathParam("name"), body().asString().orEmpty(), version, writeId)
}
