package org.parsleymoor.operator

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.get
import kotlinx.coroutines.delay
import org.parsleymoor.clients.ConfigurationOffer
import org.parsleymoor.clients.GatewayStatus
import org.parsleymoor.core.Clock

/** A revision is in effect on all [instances], [millis] after it was accepted. */
internal data class Spread(val instances: Int, val millis: Long)

/** Offers an accepted configuration to the gateways and waits until all of them have it in effect. */
internal class Propagation(
    private val deployment: Deployment,
    private val clock: Clock,
    private val progress: (String) -> Unit,
    private val pollMillis: Long = 200,
) {
    /** Suspends until every gateway reports [revision] or a later one, at most for the wait of the settings. */
    suspend fun spread(offer: ConfigurationOffer, revision: Long): Result<Spread, OperatorFailure> {
        val start = clock.nowMillis()
        return deployment.gateways().andThen { gateways ->
            deployment.ask(gateways) { it.offer(offer) }
            await(gateways, revision, start)
        }
    }

    private suspend fun await(
        gateways: List<GatewayAt>,
        revision: Long,
        start: Long,
    ): Result<Spread, OperatorFailure> {
        var lagging = behind(gateways, revision)
        while (lagging.isNotEmpty() && clock.nowMillis() - start < deployment.settings.waitMillis) {
            progress("revision $revision is in effect on ${gateways.size - lagging.size} of ${gateways.size} instances")
            delay(pollMillis)
            lagging = behind(gateways, revision)
        }
        val waited = clock.nowMillis() - start
        return if (lagging.isEmpty()) {
            Ok(Spread(gateways.size, waited))
        } else {
            Err(OperatorFailure.Lagging(revision, lagging, waited))
        }
    }

    private suspend fun behind(gateways: List<GatewayAt>, revision: Long): List<String> =
        deployment.ask(gateways) { it.status() }.mapNotNull { lag(it, revision) }

    private fun lag(answer: GatewayAnswer<GatewayStatus>, revision: Long): String? {
        val status = answer.answer.get() ?: return "${answer.address} (no answer)"
        return if (status.revision >= revision) null else "${status.instance} (revision ${status.revision})"
    }
}
