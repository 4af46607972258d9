package org.parsleymoor.standins

import io.vertx.core.Vertx
import io.vertx.ext.web.Router
import io.vertx.ext.web.RoutingContext
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/** How the weight store listens and how long a load takes while at most [loadsAtFullRate] run at once. */
public data class WeightStoreSettings(
    public val host: String = "127.0.0.1",
    public val port: Int = 0,
    public val loadMillis: Long = 950,
    public val loadsAtFullRate: Int = 2,
)

/** The rate-limited weight store: `GET /v1/weights/{model}/{version}` answers when the load is complete. */
public class WeightStoreStandIn(private val vertx: Vertx, private val settings: WeightStoreSettings) {
    private var loads = 0

    /** Binds the port and suspends until it accepts connections; returns the bound port. */
    public suspend fun start(): Int = StandInServer(vertx, settings.host, settings.port, ::route).start()

    private fun route(router: Router, scope: CoroutineScope) {
        router.get("/v1/weights/:model/:version").handler { scope.launch { load(it) } }
    }

    private suspend fun load(context: RoutingContext) {
        loads += 1
        try {
            var done = 0.0
            while (done < settings.loadMillis) {
                delay(STEP_MILLIS)
                done += STEP_MILLIS * minOf(1.0, settings.loadsAtFullRate.toDouble() / loads)
            }
        } finally {
            loads -= 1
        }
        context.response().end()
    }

    private companion object {
        const val STEP_MILLIS = 10L
    }
}
