package org.parsleymoor.operator

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapError
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import org.parsleymoor.clients.EndpointFailure
import org.parsleymoor.clients.GatewayStatus
import org.parsleymoor.clients.HttpAddress
import org.parsleymoor.clients.OperationsClient
import org.parsleymoor.clients.PlatformClient
import org.parsleymoor.configuration.ModelDemand

/** A gateway that the program talks to, by the address of its operations port. */
internal data class GatewayAt(val address: String, val client: OperationsClient)

/** A gateway's answer, or why there is none. */
internal data class GatewayAnswer<T>(val address: String, val answer: Result<T, EndpointFailure>)

/** The platform and the gateways of one deployment; [connect] makes the client of an operations port. */
internal class Deployment(
    val settings: OperatorSettings,
    val platform: PlatformClient,
    private val connect: (HttpAddress) -> OperationsClient,
    private val release: () -> Unit = {},
) : AutoCloseable {
    private val known = mutableMapOf<HttpAddress, GatewayAt>()

    /** Returns the gateways of the settings, or else those that the platform lists. */
    suspend fun gateways(): Result<List<GatewayAt>, OperatorFailure> {
        if (settings.gateways.isNotEmpty()) return Ok(settings.gateways.map(::gateway))
        return platform.instances().mapError { OperatorFailure.Unreachable(it) }.map { instances ->
            instances.map { it.operationsAddress }.filter { it.isNotEmpty() }.map { gateway(HttpAddress.parse(it)) }
        }
    }

    /** Makes [call] to each of [gateways], at most [CALLS_AT_ONCE] at a time, and returns all answers in order. */
    suspend fun <T> ask(
        gateways: List<GatewayAt>,
        call: suspend (OperationsClient) -> Result<T, EndpointFailure>,
    ): List<GatewayAnswer<T>> = coroutineScope {
        val permits = Semaphore(CALLS_AT_ONCE)
        gateways.map { async { permits.withPermit { GatewayAnswer(it.address, call(it.client)) } } }.awaitAll()
    }

    /** Returns the status of every gateway that answers. */
    suspend fun statuses(): Result<List<GatewayAnswer<GatewayStatus>>, OperatorFailure> =
        gateways().map { gateways -> ask(gateways) { it.status() } }

    override fun close() {
        release()
    }

    private fun gateway(address: HttpAddress): GatewayAt =
        known.getOrPut(address) { GatewayAt(address.text, connect(address)) }

    private companion object {
        const val CALLS_AT_ONCE = 32
    }
}

/** Returns the requests in progress of each model, summed over the gateways that answered. */
internal fun demandOf(statuses: List<GatewayAnswer<GatewayStatus>>): List<ModelDemand> = statuses
    .mapNotNull { it.answer.get() }
    .flatMap { it.models }
    .groupBy { it.model }
    .map { (model, traffic) -> ModelDemand(model, traffic.sumOf { it.running + it.queued }) }
