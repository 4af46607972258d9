package org.parsleymoor.relay.exchange

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import org.parsleymoor.core.EndpointId
import org.parsleymoor.relay.cache.EngineIncarnation
import org.parsleymoor.relay.fleet.isPaused
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo

/** Checks that 9 and 95 instances learn that an endpoint leaves, which only one of them has read. */
class LeavingSpreadTest {
    private val leaving = EngineIncarnation(EndpointId("e1"), startMillis = null)

    // The list says `ready` throughout, so that instances can learn it only from each other.
    @ParameterizedTest
    @ValueSource(ints = [9, 95])
    fun `all instances stop sending to an endpoint within 600 ms of one announcement`(instances: Int) {
        val fleet = SimulatedFleet(instances, ENGINES).also { it.run(SETTLE_MILLIS) }
        fleet.all[instances / 2].readLeaving(leaving)
        fleet.run(SPREAD_MILLIS)
        expectThat(fleet.all.filter { sends(it) }).isEmpty()
        fleet.all.forEach { instance -> instance.table.put(instance.table[leaving.endpoint]!!.entry, fleet.nowMillis) }
        fleet.run(3_000)
        expectThat(fleet.all.filter { sends(it) }).isEmpty()
    }

    // The end of a pause would bring the endpoint back to the instances that were refused, and an announcement of the
    // former start would keep its next start out.
    @ParameterizedTest
    @ValueSource(ints = [9, 95])
    fun `an endpoint that asks for pauses and leaves in turn gets requests again only after its next start`(
        instances: Int,
    ) {
        val fleet = SimulatedFleet(instances, ENGINES).also { it.run(SETTLE_MILLIS) }
        val first = leaving.copy(startMillis = 1)
        val entry = fleet.all.first().table[leaving.endpoint]!!.entry.copy(startMillis = 1)
        fleet.all.forEach { it.table.put(entry, fleet.nowMillis) }
        repeat(4) { round ->
            fleet.all.forEach { it.table.pauses.begin(first, 300, fleet.nowMillis) }
            if (round % 2 == 1) fleet.all[round].readLeaving(first)
            fleet.run(SPREAD_MILLIS)
            expectThat(fleet.all.count { receives(it, fleet.nowMillis) }).isEqualTo(if (round == 0) instances else 0)
        }
        fleet.all.forEach { it.table.put(entry.copy(startMillis = 2), fleet.nowMillis) }
        expectThat(fleet.all.count { receives(it, fleet.nowMillis) }).isEqualTo(instances)
        fleet.run(3_000)
        expectThat(fleet.all.count { receives(it, fleet.nowMillis) }).isEqualTo(instances)
    }

    // An instance that starts, or is reached again, has missed the announcement.
    @ParameterizedTest
    @ValueSource(ints = [9, 95])
    fun `an instance that was away during the announcement learns of it soon after it is back`(instances: Int) {
        val fleet = SimulatedFleet(instances, ENGINES)
        val away = fleet.all[instances / 2]
        fleet.stopped += away.member.id
        fleet.run(SETTLE_MILLIS)
        fleet.all.first().readLeaving(leaving)
        fleet.run(SPREAD_MILLIS)
        fleet.stopped.clear()
        fleet.run(RETURN_MILLIS)
        expectThat(listOf(away).filter { sends(it) }).isEmpty()
    }

    // Every instance repeats the announcement every second while the list says `ready`.
    @ParameterizedTest
    @ValueSource(ints = [95])
    fun `repeating an announcement sends few more messages than without it`(instances: Int) {
        val without = messages(SimulatedFleet(instances, ENGINES).also { it.run(SETTLE_MILLIS) })
        val fleet = SimulatedFleet(instances, ENGINES).also { it.run(SETTLE_MILLIS) }
        fleet.all.first().readLeaving(leaving)
        expectThat(messages(fleet)).isLessThanOrEqualTo(without * 3 / 2)
    }

    private fun sends(instance: SimulatedFleet.Instance) =
        instance.table.serving("engines").any { it.entry.id == leaving.endpoint }

    private fun receives(instance: SimulatedFleet.Instance, nowMillis: Long) = sends(instance) &&
        !instance.table.isPaused(instance.table[leaving.endpoint]!!.incarnation, nowMillis)

    private fun messages(fleet: SimulatedFleet): Int {
        val before = fleet.messages
        fleet.run(MEASURED_MILLIS)
        return fleet.messages - before
    }

    private companion object {
        const val ENGINES = 24
        const val SETTLE_MILLIS = 3_000L
        const val SPREAD_MILLIS = 600L
        const val RETURN_MILLIS = 5_000L
        const val MEASURED_MILLIS = 4_000L
    }
}
