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

    // A burst: instances that have all seen one engine idle send a whole burst there before its next report.
    @Test
    fun `a burst at instances with the same reports is spread over the engines`() {
        val instances = List(9) { EnginePlacement(TOPOLOGY, random = Random(it)) }
        val counts = (1..90).groupingBy { number ->
            val table = engines(8)
            table.all.forEachIndexed { index, state ->
                state.learnLoad(load(memoryUsed = if (index == 0) 30_000 else 40_000, atMillis = 0))
            }
            val place = instances[number % 9].choose(wanted(prompt("s$number")), table, 100).result
            (place as PlacementResult.Selected).endpoint.entry.id
        }.eachCount()
        expectThat(counts.values.max()).isLessThan(45)
    }

    // Overload: engines that are given more than their memory holds evict what they have just fetched.
    @Test
    fun `a long prompt is refused with a time to return while no engine has memory for it`() {
        val table = engines(8)
        table.all.forEach { it.learnLoad(load(memoryUsed = 95_000, atMillis = 0)) }
        val place = placement.choose(wanted(prompt("s")), table, 100).result
        expectThat(place).isA<PlacementResult.Unavailable>()
        expectThat((place as PlacementResult.Unavailable).reason).isEqualTo(UnavailableReason.OVERLOADED)
        expectThat(place.retryAfterMillis).isGreaterThan(0)
    }

    @Test
    fun `a caller that returns, and a short prompt, are served by engines that are full`() {
        val table = engines(8)
        table.all.forEach { it.learnLoad(load(memoryUsed = 95_000, atMillis = 0)) }
        val short = prompt("s", shared = 1_500, own = 500)
        expectThat(
            placement.choose(wanted(prompt("s"), isRetry = true), table, 100).result
        ).isA<PlacementResult.Selected>()
        expectThat(placement.choose(wanted(short), table, 100).result).isA<PlacementResult.Selected>()
    }

    @Test
    fun `a prompt goes to the one engine with memory for it`() {
        val table = engines(8)
        table.all.forEach { it.learnLoad(load(memoryUsed = 95_000, atMillis = 0)) }
        val free = table[EndpointId("engine-3")]!!
        free.learnLoad(load(memoryUsed = 10_000, atMillis = 1))
        expectThat(
            (placement.choose(wanted(prompt("s")), table, 100).result as PlacementResult.Selected).endpoint
        ).isEqualTo(free)
    }

    // Drawn among all engines, a prompt met its context the more rarely the more engines there are.
    @Test
    fun `prompts meet their context among 98 idle engines as often as among eight`() {
        val shares = listOf(8, 98).map { count ->
            val table = engines(count)
            table.all.forEach { it.learnLoad(load(memoryUsed = 10_000, atMillis = 0)) }
            val holder = table[EndpointId("engine-3")]!!
            val short = prompt("s", shared = 1_861, own = 507)
            val request = wanted(short).copy(cachedProbability = { if (it === holder) 0.9 else 0.0 })
            val held = (1..2_000).count {
                (placement.choose(request, table, 100).result as PlacementResult.Selected).endpoint === holder
            }
            held / 2_000.0
        }
        expectThat(shares[1]).isGreaterThan(shares[0] - 0.05)
    }

    // The engines that were drawn may all be full while another is not.
    @Test
    fun `a prompt is not refused while one of 98 engines is free`() {
        val table = engines(98)
        table.all.forEach { it.learnLoad(load(memoryUsed = 10_000, atMillis = 0, waiting = 40)) }
        val free = table[EndpointId("engine-70")]!!
        free.learnLoad(load(memoryUsed = 10_000, atMillis = 1))
        repeat(50) {
            val place = placement.choose(wanted(prompt("s$it")), table, 100).result
            expectThat((place as PlacementResult.Selected).endpoint).isEqualTo(free)
        }
    }

    // Without affinity each engine would be drawn once in eight times.
    @Test
    fun `prompts with the same shared parts meet more often at their home among idle engines`() {
        val table = engines(8)
        val atHome = (1..100).sumOf { session ->
            val prompt = prompt("session-$session")
            val home = rendezvousOrder(prompt.affinityKey, table.all) { it.entry.id.value }.first().entry.id
            (1..10).count { chosen(table, prompt) == home }
        }
        expectThat(atHome).isGreaterThan(1_000 / 8 * 3 / 2)
    }

    // A context that returns while its first run goes on: its parts are in that engine's memory and in no store yet.
    @Test
    fun `a prompt goes to the engine that was given its context lately`() {
        val table = engines(8)
        val holder = table[EndpointId("engine-5")]!!
        val held: (EndpointState) -> Double = { if (it === holder) 0.9 else 0.0 }
        val there = (1..100).count {
            val place = placement.choose(wanted(prompt("s$it")).copy(cachedProbability = held), table, 100).result
            (place as PlacementResult.Selected).endpoint === holder
        }
        expectThat(there).isGreaterThan(90)
    }

    @Test
    fun `another engine fetches the context from the one that was given it lately`() {
        val table = engines(8)
        val holder = table[EndpointId("engine-5")]!!
        holder.learnLoad(load(memoryUsed = 95_000, atMillis = 0))
        val held: (EndpointState) -> Double = { if (it === holder) 0.9 else 0.0 }
        val found = placement.choose(wanted(prompt("s")).copy(cachedProbability = held), table, 100)
        expectThat((found.result as PlacementResult.Selected).endpoint).isNotEqualTo(holder)
        expectThat(found.cachedAt).isEqualTo(holder)
    }

    // A rollout at full load: work on older weights must end before the time that operators allow.
    @Test
    fun `older weights are used only for a time after newer ones were named`() {
        val table = engines(4)
        val named = TargetWeights(MODEL, 2, sinceMillis = 0)
        val early = placement.choose(wanted(prompt("s"), named = named), table, 1_000).result
        val late = placement.choose(wanted(prompt("s"), named = named), table, 7_500).result
        expectThat(early).isA<PlacementResult.Selected>()
        expectThat((late as PlacementResult.Unavailable).reason).isEqualTo(UnavailableReason.NO_WEIGHTS)
    }

    // Two rollouts in quick succession: an engine that has missed both is out of date since the first.
    @Test
    fun `weights that were replaced twice are out of date since the first replacement`() {
        val table = engines(4)
        val named = TargetWeights(MODEL, 3, sinceMillis = 4_000).replacing(TargetWeights(MODEL, 2, sinceMillis = 0))
        val late = placement.choose(wanted(prompt("s"), named = named), table, 7_500).result
        expectThat((late as PlacementResult.Unavailable).reason).isEqualTo(UnavailableReason.NO_WEIGHTS)
        table.all.first().learnWeights(MODEL, 2)
        expectThat(
            placement.choose(wanted(prompt("s"), named = named), table, 7_500).result
        ).isA<PlacementResult.Selected>()
    }

    @Test
    fun `an engine that carries out an order or fails gets no work while others are free`() {
        val table = engines(2)
        val (first, second) = table.all.toList()
        first.orderedUntilMillis = 1_000
        repeat(10) { expectThat(chosen(table, prompt("s$it"))).isEqualTo(second.entry.id) }
        first.orderedUntilMillis = 0
        second.recordOutcome(AttemptOutcome.UNREACHABLE, 50)
        repeat(10) { expectThat(chosen(table, prompt("t$it"))).isNotEqualTo(second.entry.id) }
    }

    @Test
    fun `without an engine or with all of them tried there is no place`() {
        val empty = EndpointTable()
        val tried = EndpointTable().also { it.put(entry("one"), 0) }
        val request = placementQuery().copy(tried = setOf(EndpointId("one")))
        expectThat(placement.choose(wanted(prompt("s")), empty, 0).result).isA<PlacementResult.Unavailable>()
        expectThat(
            placement.choose(wanted(prompt("s")).copy(base = request), tried, 0).result
        ).isA<PlacementResult.Unavailable>()
    }

    private fun chosen(table: EndpointTable, prompt: PromptContext): EndpointId =
        (placement.choose(wanted(prompt), table, 100).result as PlacementResult.Selected).endpoint.entry.id

    private fun wanted(prompt: PromptContext, isRetry: Boolean = false, named: TargetWeights? = null) =
        EnginePlacementQuery(placementQuery(isRetry), prompt, named, instances = 9, fetchMillis = { null })
}
