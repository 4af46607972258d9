package org.parsleymoor.standins

import io.vertx.core.Vertx
import io.vertx.ext.web.Router
import io.vertx.ext.web.RoutingContext
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.Serializable
import org.parsleymoor.core.Clock
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.sha256Hex

/**
 * A plain service (application replica). Every call takes effect once for each time that it arrives, whatever its
 * idempotency key, so that a call that was sent twice shows in the journal twice.
 */
public class ServiceStandIn(
    vertx: Vertx,
    private val settings: ServiceSettings,
    private val clock: Clock = Clock.System,
) {
    private val server = StandInServer(vertx, settings.host, settings.port, ::route)
    private val journal = Journal(ServiceEffect.serializer(), settings.journalFile) { it.number }
    private var faults = ServiceFaults()

    /** Binds the port and suspends until it accepts connections; returns the bound port. */
    public suspend fun start(): Int = server.start()

    private fun route(router: Router, scope: CoroutineScope) {
        router.get("/journal").handler { it.response().end(journal.json()) }
        router.post("/faults").handler { setFaults(it) }
        router.route().handler { scope.launch { call(it) } }
    }

    private suspend fun call(context: RoutingContext) {
        val arrived = clock.nowMillis()
        delay(settings.delayMillis + faults.delayMillis)
        when {
            faults.refusals > 0 -> refuse(context)
            faults.crashesBeforeEffect > 0 -> {
                faults = faults.copy(crashesBeforeEffect = faults.crashesBeforeEffect - 1)
                server.closeConnections()
            }
            else -> takeEffect(context, arrived)
        }
    }

    private fun refuse(context: RoutingContext) {
        faults = faults.copy(refusals = faults.refusals - 1)
        val refusal = ServiceRefusal(detail = "expected free capacity, found none")
        context.answer(ServiceRefusal.serializer(), refusal, HttpStatus.UNAVAILABLE)
    }

    private fun takeEffect(context: RoutingContext, arrived: Long) {
        val effect = effectOf(context, arrived)
        journal.put(effect)
        if (faults.crashesAfterEffect > 0) {
            faults = faults.copy(crashesAfterEffect = faults.crashesAfterEffect - 1)
            server.closeConnections()
        } else if (!server.isSilent(context)) {
            context.answer(ServiceReceipt.serializer(), ServiceReceipt(effect.path, effect.bodyDigest, effect.endpoint))
        }
    }

    private fun effectOf(context: RoutingContext, arrived: Long): ServiceEffect = ServiceEffect(
        number = journal.next,
        endpoint = settings.endpoint,
        method = context.request().method().name(),
        path = context.request().path(),
        key = context.request().getHeader("Idempotency-Key").orEmpty(),
        bodyDigest = (context.body().buffer()?.bytes ?: ByteArray(0)).sha256Hex(),
        arrivedAtMillis = arrived,
        atMillis = clock.nowMillis(),
    )

    private fun setFaults(context: RoutingContext) {
        faults = context.readBody(ServiceFaults.serializer()) ?: return
        context.answer(ServiceFaults.serializer(), faults)
        if (faults.silenceOpenConnections) server.silenceOpenConnections()
    }
}

/** A plain service's answer: the path and the digest of the body that it took, so that a caller can check both. */
@Serializable
public data class ServiceReceipt(
    public val path: String,
    public val bodyDigest: String,
    public val endpoint: EndpointId,
)

/** A plain service's refusal before it ran a call. */
@Serializable
internal data class ServiceRefusal(
    val title: String = "The service has no capacity",
    val status: Int = HttpStatus.UNAVAILABLE,
    val detail: String,
    val execution: String = "not_run",
    val retryAfterMillis: Long = 100,
)
