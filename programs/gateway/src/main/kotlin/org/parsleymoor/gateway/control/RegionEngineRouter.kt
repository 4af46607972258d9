package org.parsleymoor.gateway.control

import org.parsleymoor.clients.EngineClient
import org.parsleymoor.configuration.EndpointDeclaration
import org.parsleymoor.core.RegionId
import org.parsleymoor.gateway.ConfigurationHolder
import org.parsleymoor.gateway.forwarding.ForwardingEngineClient
import org.parsleymoor.gateway.forwarding.LinkMeter
import org.parsleymoor.gateway.forwarding.SentTexts
import org.parsleymoor.gateway.serving.EngineRouter

/**
 * Routes calls for engines of other regions through a gateway there, so that each text crosses the inter-region link
 * once. Engines of a region without an available gateway are called directly.
 */
internal class RegionEngineRouter(
    private val region: RegionId,
    private val holder: ConfigurationHolder,
    private val peers: () -> PeerControl,
    private val meter: LinkMeter,
) : EngineRouter {
    private val sentTexts = SentTexts()

    override fun route(endpoint: EndpointDeclaration, direct: EngineClient): EngineClient {
        val remote = holder.current?.regionOf(endpoint.zone)
        if (remote == null || remote == region || peers().members.contenders(remote, endpoint.name.value).isEmpty()) {
            return direct
        }
        return ForwardingEngineClient(endpoint.name, direct, sentTexts, meter) {
            peers().connect(remote, endpoint.name.value)
        }
    }
}
