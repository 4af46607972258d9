package org.parsleymoor.placement

import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.RegionId
import org.parsleymoor.core.ZoneId

/**
 * An engine as a gateway sees it: its last load report plus the gateway's own dispatches since then. [acceptsWork] is
 * false for an engine that is drained, out of service, suspect or at its limit, and for a cold one where this gateway
 * has no slot. [correction] is the smoothed ratio of observed to estimated time to first token.
 */
public data class EngineView(
    public val endpoint: EndpointId,
    public val zone: ZoneId,
    public val region: RegionId,
    public val acceptsWork: Boolean = true,
    public val running: Int = 0,
    public val queuedPrefillTokens: Long = 0,
    public val prefillTokensPerSecond: Double,
    public val correction: Double = 1.0,
)

/**
 * A KV cache store. Rates are measured on the store's outgoing link; queued bytes are waiting to be sent on it.
 * [available] is false for a store that is lost or excluded.
 */
public data class StoreView(
    public val endpoint: EndpointId,
    public val region: RegionId,
    public val available: Boolean = true,
    public val memoryBytesPerSecond: Double,
    public val diskBytesPerSecond: Double,
    public val queuedMemoryBytes: Long = 0,
    public val queuedDiskBytes: Long = 0,
)

/** This gateway's share of the link between two regions; [waitMillis] is the delay of the gateway's own queue. */
public data class RegionLinkView(
    public val bytesPerSecond: Double,
    public val waitMillis: Double = 0.0,
    public val latencyMillis: Double = 20.0,
)

/** The input of a placement decision besides the request. [engines] serve the requested model and weight version. */
public class FleetView(
    public val engines: List<EngineView>,
    public val stores: List<StoreView> = emptyList(),
    public val regionLink: RegionLinkView = RegionLinkView(DEFAULT_LINK_BYTES_PER_SECOND),
) {
    private val engineIndex: Map<String, Int> = indexBy(engines) { it.endpoint }
    private val storeIndex: Map<String, Int> = indexBy(stores) { it.endpoint }

    /** Returns the index of [endpoint] in [engines], or -1. */
    public fun engineIndex(endpoint: EndpointId): Int = engineIndex[endpoint.value] ?: -1

    /** Returns the store with this [endpoint], or null when the view has none. */
    public fun store(endpoint: EndpointId): StoreView? = storeIndex[endpoint.value]?.let { stores[it] }

    private companion object {
        const val DEFAULT_LINK_BYTES_PER_SECOND = 2_500_000.0

        fun <T> indexBy(items: List<T>, endpointOf: (T) -> EndpointId): Map<String, Int> =
            items.withIndex().associate { (index, item) -> endpointOf(item).value to index }
    }
}
