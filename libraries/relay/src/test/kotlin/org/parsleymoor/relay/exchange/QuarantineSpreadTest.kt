package org.parsleymoor.relay.exchange

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import org.parsleymoor.core.EndpointId
import org.parsleymoor.relay.quarantine.ContentKey
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue

/** Checks that 9 to 300 instances act on crashes that each of them has seen only a part of. */
class QuarantineSpreadTest {
    private val bad = ContentKey(1)

    // Requests with the part come at any instance, and none of them sees enough crashes by itself.
    @ParameterizedTest
    @ValueSource(ints = [9, 95, 300])
    fun `all instances refuse a part within 600 ms of the third crash, and send it again within 600 ms of an answer`(
        instances: Int,
    ) {
        val fleet = crashedFleet(instances)
        fleet.run(SPREAD_MILLIS)
        expectThat(fleet.all.filterNot { it.refuses(bad) }).isEmpty()
        fleet.all.last().answer(bad)
        fleet.run(SPREAD_MILLIS)
        expectThat(fleet.all.filter { it.refuses(bad) }).isEmpty()
        fleet.run(3_000)
        expectThat(fleet.all.filter { it.refuses(bad) }).isEmpty()
    }

    // An instance that starts, or is reached again, has missed the crashes.
    @ParameterizedTest
    @ValueSource(ints = [9, 95])
    fun `an instance that was away during the crashes refuses the part soon after it is back`(instances: Int) {
        val away = SimulatedFleet(instances, ENGINES).all[instances / 2].member.id
        val fleet = crashedFleet(instances) { it.stopped += away }
        fleet.run(SPREAD_MILLIS)
        fleet.all.filter { it.member.id != away }.forEach { expectThat(it.refuses(bad)).isTrue() }
        val instance = fleet.all.first { it.member.id == away }
        expectThat(instance.refuses(bad)).isFalse()
        fleet.stopped.clear()
        fleet.run(RETURN_MILLIS)
        expectThat(instance.refuses(bad)).isTrue()
    }

    // The quarantine is repeated every second by every instance.
    @ParameterizedTest
    @ValueSource(ints = [95, 300])
    fun `repeating a quarantine sends few more messages than without it`(instances: Int) {
        val fleet = crashedFleet(instances)
        fleet.run(SPREAD_MILLIS)
        val without = messages(SimulatedFleet(instances, ENGINES).also { it.run(SETTLE_MILLIS) })
        fleet.all.forEach { it.refuses(bad) }
        expectThat(fleet.all.first().refuses(bad)).isEqualTo(true)
        expectThat(messages(fleet)).isLessThanOrEqualTo(without * 3 / 2)
    }

    private fun messages(fleet: SimulatedFleet): Int {
        val before = fleet.messages
        fleet.run(3_000)
        return fleet.messages - before
    }

    private fun crashedFleet(instances: Int, prepare: (SimulatedFleet) -> Unit = {}): SimulatedFleet {
        val fleet = SimulatedFleet(instances, ENGINES)
        prepare(fleet)
        fleet.run(SETTLE_MILLIS)
        val seeing = fleet.all.filter { it.member.id !in fleet.stopped }
        repeat(3) { number ->
            fleet.run(1_000)
            seeing[(number * 2 + 1) * seeing.size / 6].crash(EndpointId("e${number + 1}"), bad)
        }
        return fleet
    }

    private companion object {
        const val ENGINES = 8
        const val SETTLE_MILLIS = 4_000L
        const val SPREAD_MILLIS = 600L

        // A connection is made, and each quarantine is repeated once a second.
        const val RETURN_MILLIS = 2_000L
    }
}
