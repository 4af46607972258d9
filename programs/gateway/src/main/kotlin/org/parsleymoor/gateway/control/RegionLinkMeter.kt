package org.parsleymoor.gateway.control

import kotlinx.coroutines.delay
import org.parsleymoor.core.Clock
import org.parsleymoor.core.OrganisationId
import org.parsleymoor.gateway.forwarding.LinkMeter
import org.parsleymoor.gateway.forwarding.LinkPurpose
import org.parsleymoor.gateway.operations.GatewayMetrics
import org.parsleymoor.placement.RegionLinkBudget

/**
 * Limits traffic over the inter-region link to this gateway's share of the link rate, and counts the bytes by
 * organisation.
 */
internal class RegionLinkMeter(
    private val clock: Clock,
    private val metrics: GatewayMetrics,
    private val gateways: () -> Int,
) : LinkMeter {
    private val budget = RegionLinkBudget()

    override suspend fun send(organisation: OrganisationId, purpose: LinkPurpose, bytes: Long) {
        val waitMillis = synchronized(budget) {
            budget.divide(gateways(), 1)
            budget.reserve(bytes, clock.nowMillis())
        }
        metrics.regionLink(organisation, purpose.name.lowercase(), bytes)
        delay(waitMillis.toLong())
    }
}
