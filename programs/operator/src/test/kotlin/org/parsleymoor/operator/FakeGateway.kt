package org.parsleymoor.operator

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import org.parsleymoor.clients.ConfigurationInEffect
import org.parsleymoor.clients.ConfigurationOffer
import org.parsleymoor.clients.EndpointFailure
import org.parsleymoor.clients.GatewayStatus
import org.parsleymoor.clients.ModelTraffic
import org.parsleymoor.clients.OperationsClient
import org.parsleymoor.clients.OrderLeaseState
import org.parsleymoor.clients.OrderStatus
import org.parsleymoor.clients.RequestHistory
import org.parsleymoor.clients.RequestStep
import org.parsleymoor.clients.RequestStepKind
import org.parsleymoor.configuration.Configuration
import org.parsleymoor.configuration.ConfigurationRoot
import org.parsleymoor.configuration.assembleConfiguration
import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.ModelId
import org.parsleymoor.core.RequestId
import org.parsleymoor.core.ZoneId

/** A gateway's operations port, in memory. One that [isStuck] keeps its revision; one that [isDown] is silent. */
internal class FakeGateway(private val number: Int, private val zone: String) : OperationsClient {
    var isStuck: Boolean = false
    var isDown: Boolean = false
    var running: Int = 0
    private var revision = 0L
    private var configuration = Configuration()
    private val engines = FakeEngines()
    private val instance = InstanceId("gateway-$number")
    private val silence = EndpointFailure.NotConnected("127.0.0.1:709$number", "refused")

    override suspend fun status(): Result<GatewayStatus, EndpointFailure> =
        if (isDown) Err(silence) else Ok(live()).also { engines.step(configuration) }

    override suspend fun offer(offer: ConfigurationOffer): Result<ConfigurationInEffect, EndpointFailure> {
        if (isDown) return Err(silence)
        val offered = ConfigurationRoot.parse(offer.root).get()?.revision ?: 0
        if (!isStuck && offered > revision) accept(offer)
        return Ok(ConfigurationInEffect(instance, revision))
    }

    private fun accept(offer: ConfigurationOffer) {
        val root = ConfigurationRoot.parse(offer.root).get() ?: return
        revision = root.revision
        configuration = assembleConfiguration(root) { offer.sections[it.hash] }.get() ?: return
        engines.apply(configuration)
    }

    override suspend fun history(request: RequestId): Result<RequestHistory, EndpointFailure> {
        val steps = listOf(
            step(RequestStepKind.RECEIVED, 0, "hill-estate", "model leaf, 3 pieces"),
            step(RequestStepKind.PLACED, 1, "engine-1", "holds 2 of 3 pieces; least estimated time"),
            step(RequestStepKind.FINISHED, 2, "engine-1", "64 tokens"),
        )
        return Ok(RequestHistory(request, if (request == KNOWN && number == 1) steps else emptyList()))
    }

    private fun live() = GatewayStatus(
        instance = instance,
        zone = ZoneId(zone),
        startMillis = 0,
        revision = revision,
        ready = revision > 0,
        models = listOf(ModelTraffic(LEAF, running, queued = 0)),
        endpoints = engines.status(),
        orders = OrderStatus(if (number == 1) OrderLeaseState.HELD else OrderLeaseState.NOT_HELD),
    )

    private fun step(kind: RequestStepKind, atMillis: Long, subject: String, reason: String) =
        RequestStep(TRACED_MILLIS + atMillis, instance, kind, subject, reason)

    companion object {
        /** The request that the first gateway remembers. */
        val KNOWN = RequestId("4b1f0e9a-53a0-4c8e-9c55-0d6d6a5a1f10")
        private val LEAF = ModelId("leaf")
        private const val TRACED_MILLIS = 1_800_000_000_000
    }
}
