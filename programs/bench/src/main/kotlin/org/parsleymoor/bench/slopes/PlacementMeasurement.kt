package org.parsleymoor.bench.slopes

import org.apache.commons.rng.simple.RandomSource
import org.parsleymoor.context.CacheTier
import org.parsleymoor.context.HeldBlock
import org.parsleymoor.context.PieceHash
import org.parsleymoor.context.PrefixMatch
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.RegionId
import org.parsleymoor.core.ZoneId
import org.parsleymoor.placement.CostBasedPolicy
import org.parsleymoor.placement.EngineView
import org.parsleymoor.placement.FleetView
import org.parsleymoor.placement.PlacementRequest
import org.parsleymoor.placement.StoreView

/** Measures the processor time of one placement decision at each number of replicas. */
internal class PlacementMeasurement(private val sizes: List<Int>, private val decisions: Int) {
    fun measure(): Slope = Slope(
        name = "placement-processor",
        sizeUnit = "replicas",
        valueUnit = "us per decision",
        points = sizes.map { SlopePoint(it, microsecondsPerDecision(it)) },
    )

    private fun microsecondsPerDecision(replicas: Int): Double {
        val policy = CostBasedPolicy()
        val random = RandomSource.XO_RO_SHI_RO_128_PP.create(SEED)
        val fleet = fleet(replicas)
        val requests = List(REQUESTS) { request(it, replicas) }
        fun decide(count: Int) = repeat(count) { policy.place(requests[it % REQUESTS], fleet, random) }
        decide(decisions)
        return ProcessMeter.threadNanos { decide(decisions) } / NANOS_PER_MICROSECOND / decisions
    }

    private fun fleet(replicas: Int) = FleetView(
        engines = List(replicas) {
            EngineView(
                endpoint = EndpointId("engine-$it"),
                zone = ZoneId("zone-${it % ZONES}"),
                region = region(it),
                queuedPrefillTokens = it * PREFILL_STEP % PREFILL_SPREAD,
                prefillTokensPerSecond = PREFILL_TOKENS_PER_SECOND,
            )
        },
        stores = List(STORES) {
            StoreView(
                endpoint = EndpointId("store-$it"),
                region = region(it),
                memoryBytesPerSecond = STORE_MEMORY_BYTES_PER_SECOND,
                diskBytesPerSecond = STORE_DISK_BYTES_PER_SECOND,
            )
        },
    )

    private fun request(index: Int, replicas: Int): PlacementRequest {
        val blocks = List(PIECES) { HeldBlock(PieceHash(index.toLong(), it.toLong()), CacheTier.ENGINE) }
        val stored = blocks.map { it.copy(tier = CacheTier.STORE_MEMORY) }
        val matches = listOf(
            PrefixMatch(EndpointId("engine-${index % replicas}"), PIECES, blocks),
            PrefixMatch(EndpointId("store-${index % STORES}"), PIECES, stored),
        )
        return PlacementRequest(PIECES + 1, REMAINDER_TOKENS, region(0), TEXT_BYTES, matches)
    }

    private fun region(index: Int) = RegionId(if (index % 2 == 0) "north" else "south")

    private companion object {
        const val SEED = 1L
        const val REQUESTS = 64
        const val ZONES = 3
        const val STORES = 2
        const val PIECES = 8
        const val REMAINDER_TOKENS = 500
        const val TEXT_BYTES = 64_000L
        const val PREFILL_STEP = 977L
        const val PREFILL_SPREAD = 20_000L
        const val PREFILL_TOKENS_PER_SECOND = 20_000.0
        const val STORE_MEMORY_BYTES_PER_SECOND = 2e9
        const val STORE_DISK_BYTES_PER_SECOND = 5e8
        const val NANOS_PER_MICROSECOND = 1_000.0
    }
}
