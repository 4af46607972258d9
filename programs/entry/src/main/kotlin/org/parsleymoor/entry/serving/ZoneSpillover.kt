package org.parsleymoor.entry.serving

import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonObject
import org.parsleymoor.entry.log.StructuredLog
import org.parsleymoor.relay.fleet.isEjected
import org.parsleymoor.relay.fleet.isPaused
import org.parsleymoor.relay.placement.EnginePlacementSettings
import org.parsleymoor.relay.placement.Topology
import org.parsleymoor.relay.zones.SpilloverCosts
import org.parsleymoor.relay.zones.SpilloverTerms
import org.parsleymoor.relay.zones.ZoneLoad
import org.parsleymoor.relay.zones.ZoneOutflow
import org.parsleymoor.relay.zones.divideDemand
import java.util.Locale

/**
 * Decides for each service with engines which part of the prompts of this availability zone goes to another one.
 * Confined to the event loop.
 */
internal class ZoneSpillover(
    private val topology: Topology,
    private val costs: SpilloverCosts?,
    private val deployment: DeploymentView,
    private val log: StructuredLog,
) {
    private class Outflow {
        val flow = ZoneOutflow()
        var updatedMillis = Long.MIN_VALUE / 2
        var servesItself = false
    }

    private val outflows = HashMap<String, Outflow>()

    /**
     * Returns the terms for the next prompt for [service]; null where the settings state no costs, or where the zone
     * has too few engines to serve its callers by itself, so that only distances count.
     */
    fun terms(service: String, nowMillis: Long): SpilloverTerms? {
        if (costs == null) return null
        val outflow = outflows.getOrPut(service) { Outflow() }
        if (nowMillis - outflow.updatedMillis >= UPDATE_MILLIS) {
            outflow.updatedMillis = nowMillis
            update(service, outflow, costs, nowMillis)
        }
        return if (outflow.servesItself) SpilloverTerms(costs, outflow.flow.draw()) else null
    }

    private fun update(service: String, outflow: Outflow, costs: SpilloverCosts, nowMillis: Long) {
        // Engines that are drained or evacuated count: what they served has to be sent out.
        val listed = deployment.endpoints.all.count { it.entry.service == service && it.entry.zone == topology.zone }
        val servesItself = listed >= if (outflow.servesItself) LEAST_ENGINES / 2 else LEAST_ENGINES
        outflow.servesItself = servesItself
        val loads = if (servesItself) loads(service, nowMillis) else emptyList()
        val own = loads.firstOrNull { it.zone == topology.zone }
            ?: ZoneLoad(topology.zone, capacity = TOKENS_PER_SECOND, demand = 0.0)
        val flows = divideDemand(loads, topology, costs.fullShare)[topology.zone].orEmpty()
        if (outflow.flow.update(own, flows, nowMillis)) logChange(service, outflow.flow, own)
    }

    private fun loads(service: String, nowMillis: Long): List<ZoneLoad> {
        val usable = deployment.endpoints.serving(service).filter { state ->
            !state.isCold(nowMillis) && !state.isEjected(nowMillis) &&
                !deployment.endpoints.isPaused(state.incarnation, nowMillis)
        }.groupingBy { it.entry.zone }.eachCount()
        return topology.regions.keys.map { zone ->
            val capacity = (usable[zone] ?: 0) * TOKENS_PER_SECOND
            ZoneLoad(zone, capacity, deployment.zoneDemands.perSecond(service, zone, nowMillis))
        }
    }

    private fun logChange(service: String, flow: ZoneOutflow, own: ZoneLoad) {
        log.write(if (flow.active) "zone.sendsOut" else "zone.keepsAll", always = true) {
            put("service", service)
            put("demand", own.demand.toLong())
            put("capacity", own.capacity.toLong())
            putJsonObject("shares") {
                flow.shares.forEach { (zone, share) -> put(zone.value, String.format(Locale.ROOT, "%.3f", share)) }
            }
        }
    }

    private companion object {
        // As often as engines report their load.
        const val UPDATE_MILLIS = 250L

        // With fewer, prompts that stay in the zone would lose more of their context than they save.
        const val LEAST_ENGINES = 8

        val TOKENS_PER_SECOND = EnginePlacementSettings().prefillTokensPerMilli * MILLIS_PER_SECOND
        const val MILLIS_PER_SECOND = 1_000
    }
}
