package org.parsleymoor.relay.fleet

import org.junit.jupiter.api.Test
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.ZoneId
import org.parsleymoor.relay.MODEL
import org.parsleymoor.relay.entry
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue

class EndpointTableTest {
    private val table = EndpointTable().also { it.replaceAll(listOf(entry("one")), 0) }

    @Test
    fun `an entry that is removed while the discovery list is available is dropped at once`() {
        expectThat(table.remove(EndpointId("one"), 10)).isTrue()
        expectThat(table.serving("engines")).isEmpty()
    }

    // Entries expire while the object store is unavailable; endpoints register again within two seconds of its return.
    @Test
    fun `an entry that is missing after an outage of the list is kept for the grace period and then dropped`() {
        endOutage(1_000)
        table.replaceAll(emptyList(), 1_000)
        expectThat(table.serving("engines")).hasSize(1)
        expectThat(table.expire(2_900)).isEmpty()
        expectThat(table.expire(3_000)).isEqualTo(listOf(EndpointId("one")))
        expectThat(table.serving("engines")).isEmpty()
    }

    // In the middle of a rollout a probe may reach the release that has not been mended.
    @Test
    fun `a service has a release once all of its endpoints that stay run it`() {
        table.put(entry("one").copy(release = "v1"), 0)
        expectThat(table.release("engines")).isEqualTo("v1")
        table.put(entry("two").copy(release = "v2"), 0)
        expectThat(table.release("engines")).isNull()
        table.put(entry("one").copy(release = "v1", draining = true), 0)
        expectThat(table.release("engines")).isEqualTo("v2")
    }

    @Test
    fun `an entry that registers again within the grace period stays`() {
        endOutage(1_000)
        table.replaceAll(emptyList(), 1_000)
        table.put(entry("one"), 2_000)
        expectThat(table.expire(5_000)).isEmpty()
        expectThat(table.serving("engines")).hasSize(1)
    }

    @Test
    fun `a draining endpoint receives no requests and is not kept after an outage of the list`() {
        table.put(entry("one", draining = true), 10)
        expectThat(table.serving("engines")).isEmpty()
        endOutage(20)
        expectThat(table.remove(EndpointId("one"), 20)).isTrue()
    }

    @Test
    fun `an evacuated zone receives no requests until the evacuation ends`() {
        table.evacuated = setOf(ZoneId("a"))
        expectThat(table.serving("engines")).isEmpty()
        table.evacuated = emptySet()
        expectThat(table.serving("engines")).hasSize(1)
    }

    @Test
    fun `a restart of an endpoint resets what was learned about it`() {
        val state = table[EndpointId("one")]!!
        state.learnWeights(MODEL, 5)
        table.put(entry("one").copy(startMillis = 2), 10)
        expectThat(state.weights(MODEL)).isEqualTo(1)
        expectThat(state.engineLoad).isNull()
    }

    @Test
    fun `an older load report does not replace a newer one`() {
        val state = table[EndpointId("one")]!!
        expectThat(state.learnLoad(EngineLoad(1, 0, 0, 1, 10, atMillis = 100))).isTrue()
        expectThat(state.learnLoad(EngineLoad(2, 0, 0, 2, 10, atMillis = 50))).isFalse()
        expectThat(state.engineLoad?.running).isEqualTo(1)
    }

    @Test
    fun `an endpoint that fails repeatedly is ejected for a limited time`() {
        val state = table[EndpointId("one")]!!
        repeat(2) { state.recordOutcome(AttemptOutcome.FAILED, 100) }
        expectThat(state.health.isEjected(101)).isTrue()
        expectThat(state.health.isEjected(601)).isFalse()
    }

    // Six requests in flight at an endpoint that was silent for a second took it out for four seconds.
    @Test
    fun `one silence ejects an endpoint for half a second, however many requests were in flight`() {
        val state = table[EndpointId("one")]!!
        repeat(6) { state.recordOutcome(AttemptOutcome.SILENT, 100L + it * 20) }
        expectThat(state.health.isEjected(200)).isTrue()
        expectThat(state.health.isEjected(700)).isFalse()
    }

    // An endpoint that answered again after a short silence was used again only at the end of its ejection.
    @Test
    fun `an answer ends an ejection for silence, but not one for failures`() {
        val state = table[EndpointId("one")]!!
        repeat(2) { state.recordOutcome(AttemptOutcome.SILENT, 100) }
        state.recordOutcome(AttemptOutcome.ANSWERED, 150)
        expectThat(state.health.isEjected(151)).isFalse()
        repeat(2) { state.recordOutcome(AttemptOutcome.FAILED, 200) }
        state.recordOutcome(AttemptOutcome.ANSWERED, 250)
        expectThat(state.health.isEjected(251)).isTrue()
    }

    @Test
    fun `an endpoint that stays silent is ejected for longer each time`() {
        val state = table[EndpointId("one")]!!
        repeat(2) { state.recordOutcome(AttemptOutcome.SILENT, 100) }
        state.recordOutcome(AttemptOutcome.SILENT, 700)
        expectThat(state.health.isEjected(1_600)).isTrue()
        state.recordOutcome(AttemptOutcome.SILENT, 1_800)
        expectThat(state.health.isEjected(3_700)).isTrue()
    }

    /** Records an outage of the list of 8 s that ends at [atMillis]. */
    private fun endOutage(atMillis: Long) {
        table.outages.recordConfirmation(atMillis - 8_000)
        table.outages.recordFailedCall()
        table.outages.recordConfirmation(atMillis)
    }
}
