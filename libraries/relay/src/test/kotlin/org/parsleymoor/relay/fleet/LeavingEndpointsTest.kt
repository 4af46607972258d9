package org.parsleymoor.relay.fleet

import org.junit.jupiter.api.Test
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.ZoneId
import org.parsleymoor.relay.MODEL
import org.parsleymoor.relay.cache.EngineIncarnation
import org.parsleymoor.relay.entry
import org.parsleymoor.relay.placement.TargetWeights
import org.parsleymoor.relay.rollout.RolloutPlan
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

/** What ends the belief that an endpoint leaves, and what does not. */
class LeavingEndpointsTest {
    private val ready = entry("one").copy(startMillis = 1_000)
    private val table = EndpointTable().also { it.replaceAll(listOf(ready), 0) }
    private val leaving = EngineIncarnation(ready.id, startMillis = 1_000)

    // Otherwise a `ready` entry, which the endpoint wrote before or goes on writing, brings it requests again.
    @Test
    fun `no entry of the same or an earlier start takes an announcement back`() {
        expectThat(table.markLeaving(leaving)).isTrue()
        table.put(ready, 10)
        table.put(ready.copy(slots = 3), 20)
        table.put(ready.copy(startMillis = 900), 30)
        table.put(ready.copy(startMillis = null), 40)
        table.put(ready.copy(address = SocketAddress("10.0.0.200", 80)), 50)
        table.replaceAll(listOf(ready), 60)
        expectThat(table.serving("engines")).isEmpty()
        expectThat(table.expireLeaving(10_000_000)).isEqualTo(emptyMap())
        expectThat(table.serving("engines")).isEmpty()
    }

    // The entry expires while the store is down and is back after that.
    @Test
    fun `an announcement outlives the entry`() {
        table.markLeaving(leaving)
        table.remove(ready.id, 10)
        table.expireLeaving(20)
        table.put(ready, 300_000)
        table.expireLeaving(300_010)
        expectThat(table.serving("engines")).isEmpty()
        table.remove(ready.id, 300_020)
        table.expireLeaving(300_030)
        expectThat(table.expireLeaving(900_000)).isEqualTo(emptyMap())
        expectThat(table.expireLeaving(900_030)).isEqualTo(mapOf(leaving to LeavingEnd.FORGOTTEN))
    }

    @Test
    fun `a later start under the same id and address receives requests, and an announcement of its own counts`() {
        table.markLeaving(leaving)
        table.put(ready.copy(startMillis = 2_000), 10)
        expectThat(table.serving("engines")).hasSize(1)
        expectThat(table.expireLeaving(20)).isEqualTo(mapOf(leaving to LeavingEnd.STARTED_AGAIN))
        expectThat(table.markLeaving(leaving)).isFalse()
        expectThat(table.markLeaving(EngineIncarnation(ready.id, startMillis = 2_000))).isTrue()
        expectThat(table.serving("engines")).isEmpty()
    }

    @Test
    fun `another endpoint at the same address receives requests`() {
        table.markLeaving(leaving)
        table.put(ready.copy(id = EndpointId("two"), startMillis = 2_000), 10)
        expectThat(table.serving("engines").map { it.entry.id }).containsExactly(EndpointId("two"))
        expectThat(table.at(ready.address)).hasSize(2)
    }

    // A peer may know an endpoint that this instance has not seen in the list yet.
    @Test
    fun `an endpoint that is listed after its announcement receives no requests`() {
        val later = ready.copy(id = EndpointId("two"))
        expectThat(table.markLeaving(EngineIncarnation(later.id, startMillis = 1_000))).isTrue()
        table.put(later, 10)
        expectThat(table.serving("engines").map { it.entry.id }).containsExactly(ready.id)
    }

    @Test
    fun `an announcement that is repeated is no news`() {
        expectThat(table.markLeaving(leaving)).isTrue()
        expectThat(table.markLeaving(leaving)).isFalse()
        expectThat(table.leavingListed.map { it.entry.id }).containsExactly(ready.id)
    }

    @Test
    fun `the number of announcements that are kept is bounded`() {
        table.replaceAll(emptyList(), 0)
        repeat(20_000) { table.markLeaving(EngineIncarnation(EndpointId("e$it"), startMillis = 1)) }
        table.expireLeaving(0)
        expectThat(table.expireLeaving(600_000)).hasSize(8_192)
    }

    // An order would make an engine that finishes its last requests load weights.
    @Test
    fun `an engine that leaves gets no order to load weights`() {
        val targets = mapOf(MODEL to TargetWeights(MODEL, version = 2, sinceMillis = 0))
        val plan = RolloutPlan(takeoverMillis = 1_000)
        expectThat(plan.outdatedEngines(table, targets)).hasSize(1)
        table.markLeaving(leaving)
        expectThat(plan.outdatedEngines(table, targets)).isEmpty()
    }

    @Test
    fun `an announcement does not count as a failure`() {
        table.markLeaving(leaving)
        table.evacuated = setOf(ZoneId("b"))
        expectThat(table[ready.id]!!.health.isEjected(1)).isFalse()
        expectThat(table[ready.id]!!.health.recentFailures).isEqualTo(0.0)
    }
}
