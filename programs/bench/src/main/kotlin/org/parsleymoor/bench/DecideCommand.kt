package org.parsleymoor.bench

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import org.HdrHistogram.Histogram
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
import java.util.Locale

/** `bench decide --replicas N`: measures one placement decision in a plain loop, after a warm-up; not a JMH run. */
internal class DecideCommand : CliktCommand("decide") {
    private val replicas by option(help = "Engines in the fleet view.").int().default(DEFAULT_REPLICAS)
    private val seed by option(help = "Seed of the loads and requests.").long().default(1)

    override fun help(context: Context): String =
        "Measures a placement decision in a plain loop. Example: bin/bench decide --replicas 2600"

    override fun run() {
        val random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed)
        val policy = CostBasedPolicy()
        val fleet = fleet { random.nextInt(MAXIMUM_QUEUE).toLong() }
        val requests = List(REQUESTS) { request(random.nextInt(replicas)) }
        val times = Histogram(DIGITS)
        repeat(WARM_UP + MEASURED) { turn ->
            val start = System.nanoTime()
            policy.place(requests[turn % REQUESTS], fleet, random)
            if (turn >= WARM_UP) times.recordValue(System.nanoTime() - start)
        }
        echo(line(times))
    }

    private fun line(times: Histogram): String = "%d replicas: mean %.1f, p50 %.1f, p99 %.1f microseconds".format(
        Locale.ROOT,
        replicas,
        times.mean / NANOS_PER_MICRO,
        times.getValueAtPercentile(MEDIAN_PERCENT) / NANOS_PER_MICRO,
        times.getValueAtPercentile(HIGH_PERCENT) / NANOS_PER_MICRO,
    )

    private fun fleet(queue: () -> Long): FleetView = FleetView(
        List(replicas) { EngineView(EndpointId("engine-$it"), zone, region, true, 1, queue(), PREFILL_RATE) },
        List(2) { StoreView(EndpointId("store-$it"), region, true, MEMORY_RATE, DISK_RATE) },
    )

    private fun request(holder: Int): PlacementRequest {
        val blocks = List(PIECES) { HeldBlock(PieceHash(holder.toLong(), it.toLong()), CacheTier.STORE_MEMORY) }
        val matches = listOf("engine-$holder", "store-0", "store-1").map { PrefixMatch(EndpointId(it), PIECES, blocks) }
        return PlacementRequest(PIECES + 1, REMAINDER_TOKENS, region, 0, matches)
    }

    private companion object {
        val zone = ZoneId("north-a")
        val region = RegionId("north")
        const val DEFAULT_REPLICAS = 8
        const val MAXIMUM_QUEUE = 40_000
        const val REQUESTS = 1_000
        const val WARM_UP = 20_000
        const val MEASURED = 20_000
        const val PIECES = 16
        const val REMAINDER_TOKENS = 400
        const val PREFILL_RATE = 8_000.0
        const val MEMORY_RATE = 4e9
        const val DISK_RATE = 2e9
        const val DIGITS = 3
        const val MEDIAN_PERCENT = 50.0
        const val HIGH_PERCENT = 99.0
        const val NANOS_PER_MICRO = 1_000.0
    }
}
