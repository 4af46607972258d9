package org.parsleymoor.placement

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import org.apache.commons.rng.simple.RandomSource
import org.junit.jupiter.api.Test
import org.parsleymoor.context.CacheTier
import org.parsleymoor.context.HeldBlock
import org.parsleymoor.context.PieceHash
import org.parsleymoor.context.PrefixMatch
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.RegionId
import org.parsleymoor.core.ZoneId
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull

class PlacementPolicyTest {
    private val random = RandomSource.XO_RO_SHI_RO_128_PP.create(1)
    private val north = RegionId("north")
    private val south = RegionId("south")
    private val policy = CostBasedPolicy()

    @Test
    fun `the engine that holds the context is chosen while its queue delay is shorter than recomputing it elsewhere`() {
        val fleet = FleetView(listOf(engine("a", queued = 4_000), engine("b")))
        expectThat(place(request(engineMatch("a", 10)), fleet).endpoint.value).isEqualTo("a")
    }

    @Test
    fun `a request goes to an engine that recomputes when the one with the context has a long queue`() {
        val fleet = FleetView(listOf(engine("a", queued = 80_000), engine("b")))
        val placement = place(request(engineMatch("a", 10)), fleet)
        expectThat(placement.endpoint.value).isEqualTo("b")
        expectThat(placement.recomputedPieces).isEqualTo(10)
    }

    @Test
    fun `the prefix is imported from a fast store`() {
        val placement = place(request(storeMatch(10)), FleetView(listOf(engine("a")), listOf(store())))
        expectThat(placement.prefix).isA<PrefixSource.Import>().get { blocks.size }.isEqualTo(10)
        expectThat(placement.recomputedPieces).isEqualTo(0)
    }

    @Test
    fun `nothing is imported from a store whose link is busy for longer than recomputing takes`() {
        val overloaded = store(queuedBytes = 40_000_000_000)
        val placement = place(request(storeMatch(10)), FleetView(listOf(engine("a")), listOf(overloaded)))
        expectThat(placement.prefix).isEqualTo(PrefixSource.EngineOnly)
    }

    @Test
    fun `nothing is imported from a lost store or from a store in another region`() {
        val stores = listOf(store(available = false), store(region = south))
        val prefixes = stores.map { place(request(storeMatch(10)), FleetView(listOf(engine("a")), listOf(it))).prefix }
        expectThat(prefixes.distinct()).isEqualTo(listOf(PrefixSource.EngineOnly))
    }

    @Test
    fun `a request goes to another region only when its own region is far busier`() {
        val similarLoad = FleetView(listOf(engine("a", queued = 8_000), engine("b", region = south)))
        val overloaded = FleetView(listOf(engine("a", queued = 400_000), engine("b", region = south)))
        expectThat(place(request(), similarLoad).endpoint.value).isEqualTo("a")
        expectThat(place(request(), overloaded).endpoint.value).isEqualTo("b")
    }

    @Test
    fun `requests placed with the same view are spread over equal engines`() {
        val fleet = FleetView(List(4) { engine("e$it") })
        val counts = List(400) { place(request(), fleet).endpoint.value }.groupingBy { it }.eachCount()
        expectThat(counts.size).isEqualTo(4)
        expectThat(counts.values.min()).isGreaterThan(50)
    }

    @Test
    fun `an engine that was slower than estimated loses to one that was not`() {
        val fleet = FleetView(listOf(engine("slow", correction = 3.0), engine("normal")))
        expectThat(place(request(), fleet).endpoint.value).isEqualTo("normal")
    }

    @Test
    fun `every policy reports a failure when no engine accepts work`() {
        val fleet = FleetView(listOf(engine("a", accepts = false)))
        val failures = PlacementPolicy.all().map { it.place(request(), fleet, random).getError() }
        expectThat(failures.distinct()).isEqualTo(listOf(NoEngineAvailable(1)))
    }

    @Test
    fun `prefix affinity chooses the longest match and round robin takes the engines in turn`() {
        val fleet = FleetView(listOf(engine("a", queued = 90_000), engine("b")))
        val byAffinity = PrefixAffinityPolicy().place(request(engineMatch("a", 3)), fleet, random).get()
        val inTurn = RoundRobinPolicy().let { turns -> List(4) { turns.place(request(), fleet, random).get() } }
        expectThat(byAffinity?.endpoint?.value).isEqualTo("a")
        expectThat(inTurn.map { it?.endpoint?.value }).isEqualTo(listOf("a", "b", "a", "b"))
    }

    @Test
    fun `the link budget is divided among gateways and reservations queue behind each other`() {
        val budget = RegionLinkBudget(RegionLinkSettings(bytesPerSecond = 1_000_000.0, burstMillis = 0))
        budget.divide(listed = 2, alive = 3)
        expectThat(budget.bytesPerSecond).isEqualTo(300_000.0)
        expectThat(budget.reserve(30_000, nowMillis = 1_000)).isEqualTo(100.0)
        expectThat(budget.reserve(30_000, nowMillis = 1_000)).isEqualTo(200.0)
        expectThat(budget.tryReserve(30_000, nowMillis = 1_000, withinMillis = 250.0)).isEqualTo(false)
        expectThat(budget.reservedBytes).isEqualTo(60_000)
    }

    @Test
    fun `the correction converges to the ratio of observed to estimated time`() {
        val correction = EstimateCorrection(smoothing = 0.5)
        val engine = EndpointId("a")
        repeat(20) { correction.record(engine, estimatedMillis = 100.0, observedMillis = 200.0) }
        expectThat(correction.factor(engine)).isGreaterThan(1.9).isLessThan(2.1)
    }

    private fun place(request: PlacementRequest, fleet: FleetView): Placement =
        expectThat(policy.place(request, fleet, random).get()).isNotNull().subject

    private fun request(vararg matches: PrefixMatch) =
        PlacementRequest(10, 400, north, crossRegionTextBytes = 80_000, matches.toList())

    private fun engineMatch(engine: String, pieces: Int) = match(engine, pieces, CacheTier.ENGINE)

    private fun storeMatch(pieces: Int) = match("store", pieces, CacheTier.STORE_MEMORY)

    private fun match(endpoint: String, pieces: Int, tier: CacheTier) =
        PrefixMatch(EndpointId(endpoint), pieces, List(pieces) { HeldBlock(PieceHash(1, it.toLong()), tier) })

    private fun engine(
        name: String,
        queued: Long = 0,
        region: RegionId = north,
        accepts: Boolean = true,
        correction: Double = 1.0,
    ) = EngineView(EndpointId(name), ZoneId("z"), region, accepts, 0, queued, 8_000.0, correction)

    private fun store(region: RegionId = north, available: Boolean = true, queuedBytes: Long = 0) =
        StoreView(EndpointId("store"), region, available, 4e9, 2e9, queuedBytes, 0)
}
