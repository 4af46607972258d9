package org.parsleymoor.relay.exchange

import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.ZoneId
import org.parsleymoor.relay.cache.ContextKey
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo

/** What every instance knows of every engine, and what it costs, from a handful of instances to hundreds. */
class PeerUpdateSpreadTest {
    // An instance that does not hear of an engine asks it itself: with 95 instances 41 asks a second each.
    @ParameterizedTest
    @CsvSource("9,8", "18,8", "95,37", "300,98")
    fun `every instance knows every load within a second while an engine is asked at most six times a second`(
        instances: Int,
        engines: Int,
    ) {
        val fleet = SimulatedFleet(instances, engines)
        fleet.run(SETTLE_MILLIS)
        val ages = ArrayList<Long>()
        repeat(SAMPLES) {
            fleet.run(SAMPLE_MILLIS)
            ages += fleet.ages()
        }
        ages.sort()
        expectThat(ages[ages.size / 2]).isLessThanOrEqualTo(MEDIAN_MILLIS)
        expectThat(ages[ages.size * 99 / 100]).isLessThanOrEqualTo(MOST_MILLIS)
        expectThat(fleet.mostAsksInASecond(SETTLE_MILLIS)).isLessThanOrEqualTo(MOST_ASKS)
    }

    // Messages that grow with the square of the instances fill the links and processors of the smallest ones.
    @Test
    fun `messages for each instance stay the same from 95 to 300 instances`() {
        val (small, large) = listOf(95, 300).map { instances ->
            val fleet = SimulatedFleet(instances, ENGINES)
            fleet.run(SETTLE_MILLIS)
            val before = fleet.messages
            fleet.run(SETTLE_MILLIS)
            (fleet.messages - before).toDouble() / instances
        }
        expectThat(large).isLessThan(small * NOISE)
    }

    // An instance that counts a prompt twice, or not at all, sends its own to the wrong engine.
    @ParameterizedTest
    @CsvSource("9", "95")
    fun `a prompt that one instance sends is heard of by each other instance once`(instances: Int) {
        val fleet = SimulatedFleet(instances, ENGINES)
        fleet.run(SETTLE_MILLIS)
        fleet.all.forEachIndexed { number, one -> one.send(ContextKey(number.toLong()), EndpointId("e1")) }
        fleet.run(SPREAD_MILLIS)
        fleet.all.forEachIndexed { number, one ->
            val others = (0L until instances).filter { it != number.toLong() }.map { ContextKey(it) }.toSet()
            expectThat(one.prompts.keys.toSet()).isEqualTo(others)
            expectThat(one.prompts.values.max()).isEqualTo(1)
        }
    }

    // The other zones would lose sight of a zone for as long as its hub counts as a member.
    @Test
    fun `two seconds after a hub falls silent its zone and the others know each other's engines again`() {
        val fleet = SimulatedFleet(95, ENGINES)
        fleet.run(SETTLE_MILLIS)
        val zone = ZoneId("z1")
        val hub = fleet.all.first { it.member.zone == zone && it.tree.rank == 0 }
        fleet.stopped += hub.member.id
        fleet.run(2_000)
        expectThat(fleet.ages(zones = setOf(zone)).last()).isLessThanOrEqualTo(MOST_MILLIS)
        val inZone = fleet.all.filter { it.member.zone == zone }
        expectThat(fleet.ages(inZone).last()).isLessThanOrEqualTo(MOST_MILLIS)
    }

    @Test
    fun `when both hubs of a zone fall silent others take their place`() {
        val fleet = SimulatedFleet(95, ENGINES)
        fleet.run(SETTLE_MILLIS)
        val zone = ZoneId("z1")
        fleet.stopped += fleet.all.filter { it.member.zone == zone && it.tree.rank < 2 }.map { it.member.id }
        fleet.run(6_000)
        expectThat(fleet.ages(zones = setOf(zone)).last()).isLessThanOrEqualTo(MOST_MILLIS)
    }

    // A ring of instances by name is torn by the loss of one zone.
    @Test
    fun `a zone that is cut off keeps its own news and takes none from the others`() {
        val fleet = SimulatedFleet(95, ENGINES)
        fleet.run(SETTLE_MILLIS)
        val cut = ZoneId("z2")
        fleet.cutZones = setOf(cut)
        fleet.run(4_000)
        val (inside, outside) = fleet.all.partition { it.member.zone == cut }
        expectThat(fleet.ages(inside, setOf(cut)).last()).isLessThanOrEqualTo(MOST_MILLIS)
        expectThat(fleet.ages(outside, SimulatedFleet.ZONE_IDS - cut).last()).isLessThanOrEqualTo(MOST_MILLIS)
        fleet.cutZones = emptySet()
        fleet.run(4_000)
        expectThat(fleet.ages().last()).isLessThanOrEqualTo(MOST_MILLIS)
    }

    // With a zone of 17 engines dark, every instance would ask each of them without end.
    @Test
    fun `an engine that does not answer is asked at most six times a second and still asked`() {
        val fleet = SimulatedFleet(95, ENGINES)
        fleet.run(SETTLE_MILLIS)
        fleet.dark += EndpointId("e1")
        fleet.run(10_000)
        val asks = fleet.asks.getValue(EndpointId("e1")).filter { it > SETTLE_MILLIS }
        expectThat(asks.size).isLessThanOrEqualTo(MOST_ASKS * 10)
        fleet.dark.clear()
        fleet.run(1_500)
        expectThat(fleet.ages().last()).isLessThanOrEqualTo(MOST_MILLIS)
    }

    // The first in the order may be the only one that cannot reach the engine.
    @Test
    fun `the engines of a zone without instances are asked by others`() {
        val fleet = SimulatedFleet(95, ENGINES)
        fleet.run(SETTLE_MILLIS)
        val zone = ZoneId("z3")
        fleet.stopped += fleet.all.filter { it.member.zone == zone }.map { it.member.id }
        val from = fleet.nowMillis
        fleet.run(10_000)
        val asked = fleet.asks.getValue(EndpointId("e3")).filter { it > from + 4_000 }
        expectThat(asked.size).isGreaterThan(0)
        expectThat(asked.size).isLessThanOrEqualTo(MOST_ASKS * 6)
    }

    private fun SimulatedFleet.mostAsksInASecond(fromMillis: Long): Int = asks.values.maxOf { times ->
        val later = times.filter { it > fromMillis }
        later.maxOf { start -> later.count { it in start until start + 1_000 } }
    }

    private companion object {
        const val ENGINES = 37
        const val SETTLE_MILLIS = 4_000L
        const val SAMPLES = 10
        const val SAMPLE_MILLIS = 370L
        const val SPREAD_MILLIS = 600L
        const val MEDIAN_MILLIS = 300L
        const val MOST_MILLIS = 1_000L
        const val MOST_ASKS = 6

        // Hubs have more members to tell; everything else is the same.
        const val NOISE = 1.2
    }
}
