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

/** Checks how current every instance's view of every engine is, and what it costs, with 9 to 300 instances. */
class PeerUpdateSpreadTest {
    // An instance without updates about an engine polls it itself; with 95 instances each engine got 41 polls a second.
    @ParameterizedTest
    @CsvSource("9,8", "18,8", "95,37", "300,98")
    fun `every instance knows every load within a second while an engine is polled at most six times a second`(
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
        expectThat(ages[ages.size / 2]).isLessThanOrEqualTo(MEDIAN_AGE_MILLIS)
        expectThat(ages[ages.size * 99 / 100]).isLessThanOrEqualTo(MAX_AGE_MILLIS)
        expectThat(fleet.maxPollsInASecond(SETTLE_MILLIS)).isLessThanOrEqualTo(MAX_POLLS)
    }

    // Messages that grow with the square of the number of instances would overload the smallest of them.
    @Test
    fun `the number of messages per instance is the same with 95 and 300 instances`() {
        val (small, large) = listOf(95, 300).map { instances ->
            val fleet = SimulatedFleet(instances, ENGINES)
            fleet.run(SETTLE_MILLIS)
            val before = fleet.messages
            fleet.run(SETTLE_MILLIS)
            (fleet.messages - before).toDouble() / instances
        }
        expectThat(large).isLessThan(small * TOLERANCE)
    }

    // An instance that counts another's prompt twice, or not at all, selects the wrong engine for its own.
    @ParameterizedTest
    @CsvSource("9", "95")
    fun `each instance learns of a prompt that another instance sent exactly once`(instances: Int) {
        val fleet = SimulatedFleet(instances, ENGINES)
        fleet.run(SETTLE_MILLIS)
        fleet.all.forEachIndexed { number, instance -> instance.send(ContextKey(number.toLong()), EndpointId("e1")) }
        fleet.run(SPREAD_MILLIS)
        fleet.all.forEachIndexed { number, instance ->
            val others = (0L until instances).filter { it != number.toLong() }.map { ContextKey(it) }.toSet()
            expectThat(instance.prompts.keys.toSet()).isEqualTo(others)
            expectThat(instance.prompts.values.max()).isEqualTo(1)
        }
    }

    // Otherwise the other zones would lack updates from a zone for as long as its silent hub counts as a member.
    @Test
    fun `two seconds after a hub falls silent its zone and the others know each other's engine loads again`() {
        val fleet = SimulatedFleet(95, ENGINES)
        fleet.run(SETTLE_MILLIS)
        val zone = ZoneId("z1")
        val hub = fleet.all.first { it.member.zone == zone && it.tree.rank == 0 }
        fleet.stopped += hub.member.id
        fleet.run(2_000)
        expectThat(fleet.ages(zones = setOf(zone)).last()).isLessThanOrEqualTo(MAX_AGE_MILLIS)
        val inZone = fleet.all.filter { it.member.zone == zone }
        expectThat(fleet.ages(inZone).last()).isLessThanOrEqualTo(MAX_AGE_MILLIS)
    }

    @Test
    fun `when both hubs of a zone fall silent other instances take over`() {
        val fleet = SimulatedFleet(95, ENGINES)
        fleet.run(SETTLE_MILLIS)
        val zone = ZoneId("z1")
        fleet.stopped += fleet.all.filter { it.member.zone == zone && it.tree.rank < 2 }.map { it.member.id }
        fleet.run(6_000)
        expectThat(fleet.ages(zones = setOf(zone)).last()).isLessThanOrEqualTo(MAX_AGE_MILLIS)
    }

    // In a ring of instances ordered by name, the loss of one zone separated the others.
    @Test
    fun `a zone that is cut off and the other zones each keep their own updates`() {
        val fleet = SimulatedFleet(95, ENGINES)
        fleet.run(SETTLE_MILLIS)
        val cut = ZoneId("z2")
        fleet.cutZones = setOf(cut)
        fleet.run(4_000)
        val (inside, outside) = fleet.all.partition { it.member.zone == cut }
        expectThat(fleet.ages(inside, setOf(cut)).last()).isLessThanOrEqualTo(MAX_AGE_MILLIS)
        expectThat(fleet.ages(outside, SimulatedFleet.ZONE_IDS - cut).last()).isLessThanOrEqualTo(MAX_AGE_MILLIS)
        fleet.cutZones = emptySet()
        fleet.run(4_000)
        expectThat(fleet.ages().last()).isLessThanOrEqualTo(MAX_AGE_MILLIS)
    }

    // With the 17 engines of one zone unresponsive, every instance would keep polling all of them.
    @Test
    fun `an unresponsive engine is polled at most six times a second and noticed when it returns`() {
        val fleet = SimulatedFleet(95, ENGINES)
        fleet.run(SETTLE_MILLIS)
        fleet.unresponsive += EndpointId("e1")
        fleet.run(10_000)
        val polls = fleet.polls.getValue(EndpointId("e1")).filter { it > SETTLE_MILLIS }
        expectThat(polls.size).isLessThanOrEqualTo(MAX_POLLS * 10)
        fleet.unresponsive.clear()
        fleet.run(1_500)
        expectThat(fleet.ages().last()).isLessThanOrEqualTo(MAX_AGE_MILLIS)
    }

    // The instances that rank first for an engine may be the only ones that cannot poll it.
    @Test
    fun `the engines of a zone without instances are polled by other zones`() {
        val fleet = SimulatedFleet(95, ENGINES)
        fleet.run(SETTLE_MILLIS)
        val zone = ZoneId("z3")
        fleet.stopped += fleet.all.filter { it.member.zone == zone }.map { it.member.id }
        val from = fleet.nowMillis
        fleet.run(10_000)
        val pollTimes = fleet.polls.getValue(EndpointId("e3")).filter { it > from + 4_000 }
        expectThat(pollTimes.size).isGreaterThan(0)
        expectThat(pollTimes.size).isLessThanOrEqualTo(MAX_POLLS * 6)
    }

    private fun SimulatedFleet.maxPollsInASecond(fromMillis: Long): Int = polls.values.maxOf { times ->
        val later = times.filter { it > fromMillis }
        later.maxOf { start -> later.count { it in start until start + 1_000 } }
    }

    private companion object {
        const val ENGINES = 37
        const val SETTLE_MILLIS = 4_000L
        const val SAMPLES = 10
        const val SAMPLE_MILLIS = 370L
        const val SPREAD_MILLIS = 600L
        const val MEDIAN_AGE_MILLIS = 300L
        const val MAX_AGE_MILLIS = 1_000L
        const val MAX_POLLS = 6

        // Allows for hubs, which have more members to send to.
        const val TOLERANCE = 1.2
    }
}
