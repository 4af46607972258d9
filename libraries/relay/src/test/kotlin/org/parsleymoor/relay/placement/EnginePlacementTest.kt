package org.parsleymoor.relay.placement

import org.junit.jupiter.api.Test
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.rendezvousOrder
import org.parsleymoor.relay.MODEL
import org.parsleymoor.relay.TOPOLOGY
import org.parsleymoor.relay.engines
import org.parsleymoor.relay.entry
import org.parsleymoor.relay.fleet.AttemptOutcome
import org.parsleymoor.relay.fleet.EndpointState
import org.parsleymoor.relay.fleet.EndpointTable
import org.parsleymoor.relay.fleet.recordOutcome
import org.parsleymoor.relay.load
import org.parsleymoor.relay.placementQuery
import org.parsleymoor.relay.prompt
import org.parsleymoor.relay.prompt.PromptContext
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNotEqualTo
import kotlin.random.Random

class EnginePlacementTest {
    private val placement = EnginePlacement(TOPOLOGY, random = Random(1))

    // Instances that all see the same engine idle would send a whole burst to it before its next load report.
    @Test
    fun `instances with the same load reports spread a burst over the engines`() {
        val instances = List(9) { EnginePlacement(TOPOLOGY, random = Random(it)) }
        val counts = (1..90).groupingBy { number ->
            val table = engines(8)
            table.all.forEachIndexed { index, state ->
                state.learnLoad(load(memoryUsed = if (index == 0) 30_000 else 40_000, atMillis = 0))
            }
            val result = instances[number % 9].choose(query(prompt("s$number")), table, 100).result
            (result as PlacementResult.Selected).endpoint.entry.id
        }.eachCount()
        expectThat(counts.values.max()).isLessThan(45)
    }

    // Engines whose memory is overcommitted evict what they have just fetched.
    @Test
    fun `a long prompt is refused with a retry delay while no engine has memory for it`() {
        val table = engines(8)
        table.all.forEach { it.learnLoad(load(memoryUsed = 95_000, atMillis = 0)) }
        val result = placement.choose(query(prompt("s")), table, 100).result
        expectThat(result).isA<PlacementResult.Unavailable>()
        expectThat((result as PlacementResult.Unavailable).reason).isEqualTo(UnavailableReason.OVERLOADED)
        expectThat(result.retryAfterMillis).isGreaterThan(0)
    }

    @Test
    fun `full engines still accept a retry and a short prompt`() {
        val table = engines(8)
        table.all.forEach { it.learnLoad(load(memoryUsed = 95_000, atMillis = 0)) }
        val short = prompt("s", shared = 1_500, own = 500)
        expectThat(
            placement.choose(query(prompt("s"), isRetry = true), table, 100).result
        ).isA<PlacementResult.Selected>()
        expectThat(placement.choose(query(short), table, 100).result).isA<PlacementResult.Selected>()
    }

    @Test
    fun `a prompt goes to the only engine with memory for it`() {
        val table = engines(8)
        table.all.forEach { it.learnLoad(load(memoryUsed = 95_000, atMillis = 0)) }
        val free = table[EndpointId("engine-3")]!!
        free.learnLoad(load(memoryUsed = 10_000, atMillis = 1))
        expectThat(
            (placement.choose(query(prompt("s")), table, 100).result as PlacementResult.Selected).endpoint
        ).isEqualTo(free)
    }

    // When all engines were sampled, the chance that a prompt reached its cached context fell with their number.
    @Test
    fun `prompts reach their cached context among 98 idle engines as often as among eight`() {
        val shares = listOf(8, 98).map { count ->
            val table = engines(count)
            table.all.forEach { it.learnLoad(load(memoryUsed = 10_000, atMillis = 0)) }
            val holder = table[EndpointId("engine-3")]!!
            val short = prompt("s", shared = 1_861, own = 507)
            val request = query(short).copy(cachedProbability = { if (it === holder) 0.9 else 0.0 })
            val atHolder = (1..2_000).count {
                (placement.choose(request, table, 100).result as PlacementResult.Selected).endpoint === holder
            }
            atHolder / 2_000.0
        }
        expectThat(shares[1]).isGreaterThan(shares[0] - 0.05)
    }

    // The sampled engines may all be full while another is free.
    @Test
    fun `a prompt is not refused while one of 98 engines is free`() {
        val table = engines(98)
        table.all.forEach { it.learnLoad(load(memoryUsed = 10_000, atMillis = 0, waiting = 40)) }
        val free = table[EndpointId("engine-70")]!!
        free.learnLoad(load(memoryUsed = 10_000, atMillis = 1))
        repeat(50) {
            val result = placement.choose(query(prompt("s$it")), table, 100).result
            expectThat((result as PlacementResult.Selected).endpoint).isEqualTo(free)
        }
    }

    // Without affinity each of the eight engines would receive an eighth of the prompts.
    @Test
    fun `idle engines receive prompts with the same shared parts more often at their home engine`() {
        val table = engines(8)
        val atHome = (1..100).sumOf { session ->
            val prompt = prompt("session-$session")
            val home = rendezvousOrder(prompt.affinityKey, table.all) { it.entry.id.value }.first().entry.id
            (1..10).count { selected(table, prompt) == home }
        }
        expectThat(atHome).isGreaterThan(1_000 / 8 * 3 / 2)
    }

    // While the first request with a context runs, its parts are in that engine's memory and in no KV cache store yet.
    @Test
    fun `a prompt goes to the engine that recently received its context`() {
        val table = engines(8)
        val holder = table[EndpointId("engine-5")]!!
        val atHolder: (EndpointState) -> Double = { if (it === holder) 0.9 else 0.0 }
        val selections = (1..100).count {
            val result = placement.choose(query(prompt("s$it")).copy(cachedProbability = atHolder), table, 100).result
            (result as PlacementResult.Selected).endpoint === holder
        }
        expectThat(selections).isGreaterThan(90)
    }

    @Test
    fun `another engine fetches the context from the engine that recently received it`() {
        val table = engines(8)
        val holder = table[EndpointId("engine-5")]!!
        holder.learnLoad(load(memoryUsed = 95_000, atMillis = 0))
        val atHolder: (EndpointState) -> Double = { if (it === holder) 0.9 else 0.0 }
        val found = placement.choose(query(prompt("s")).copy(cachedProbability = atHolder), table, 100)
        expectThat((found.result as PlacementResult.Selected).endpoint).isNotEqualTo(holder)
        expectThat(found.cachedAt).isEqualTo(holder)
    }

    // During a rollout at full load, requests on older weights must end within the time that operators allow.
    @Test
    fun `older weights are used only for a limited time after the target changes`() {
        val table = engines(4)
        val target = TargetWeights(MODEL, 2, sinceMillis = 0)
        val early = placement.choose(query(prompt("s"), target = target), table, 1_000).result
        val late = placement.choose(query(prompt("s"), target = target), table, 7_500).result
        expectThat(early).isA<PlacementResult.Selected>()
        expectThat((late as PlacementResult.Unavailable).reason).isEqualTo(UnavailableReason.NO_WEIGHTS)
    }

    // An engine that misses two rollouts in quick succession is outdated since the first.
    @Test
    fun `weights that were replaced twice are outdated since the first replacement`() {
        val table = engines(4)
        val target = TargetWeights(MODEL, 3, sinceMillis = 4_000).replacing(TargetWeights(MODEL, 2, sinceMillis = 0))
        val late = placement.choose(query(prompt("s"), target = target), table, 7_500).result
        expectThat((late as PlacementResult.Unavailable).reason).isEqualTo(UnavailableReason.NO_WEIGHTS)
        table.all.first().learnWeights(MODEL, 2)
        expectThat(
            placement.choose(query(prompt("s"), target = target), table, 7_500).result
        ).isA<PlacementResult.Selected>()
    }

    @Test
    fun `an engine that executes an order or fails receives no requests while others are free`() {
        val table = engines(2)
        val (first, second) = table.all.toList()
        first.orderedUntilMillis = 1_000
        repeat(10) { expectThat(selected(table, prompt("s$it"))).isEqualTo(second.entry.id) }
        first.orderedUntilMillis = 0
        second.recordOutcome(AttemptOutcome.UNREACHABLE, 50)
        repeat(10) { expectThat(selected(table, prompt("t$it"))).isNotEqualTo(second.entry.id) }
    }

    // A stream whose engine was only silent was sent to engines that were known to refuse it.
    @Test
    fun `a request that has an engine goes only to one that is expected to accept it`() {
        val refusing = mapOf<String, (EndpointState) -> Unit>(
            "ordered" to { it.orderedUntilMillis = 1_000 },
            "ejected" to { it.recordOutcome(AttemptOutcome.UNREACHABLE, 50) },
            "refused" to { it.refusedMillis = 50 },
            "full" to { it.learnLoad(load(memoryUsed = 100_000, atMillis = 50, waiting = 9)) },
        )
        refusing.forEach { (state, apply) ->
            val table = engines(1)
            table.all.forEach(apply)
            val successor = query(prompt("s")).copy(base = placementQuery().copy(isSuccessor = true))
            expectThat(placement.choose(successor, table, 100).result).describedAs(state)
                .isA<PlacementResult.Unavailable>()
        }
    }

    @Test
    fun `without an untried engine the result is unavailable`() {
        val empty = EndpointTable()
        val tried = EndpointTable().also { it.put(entry("one"), 0) }
        val request = placementQuery().copy(tried = setOf(EndpointId("one")))
        expectThat(placement.choose(query(prompt("s")), empty, 0).result).isA<PlacementResult.Unavailable>()
        expectThat(
            placement.choose(query(prompt("s")).copy(base = request), tried, 0).result
        ).isA<PlacementResult.Unavailable>()
    }

    private fun selected(table: EndpointTable, prompt: PromptContext): EndpointId =
        (placement.choose(query(prompt), table, 100).result as PlacementResult.Selected).endpoint.entry.id

    private fun query(prompt: PromptContext, isRetry: Boolean = false, target: TargetWeights? = null) =
        EnginePlacementQuery(placementQuery(isRetry), prompt, target, instances = 9, fetchMillis = { null })
}
