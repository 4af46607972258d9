package org.parsleymoor.entry

import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import org.parsleymoor.entry.control.MemberObservations
import org.parsleymoor.entry.control.ObjectList
import org.parsleymoor.entry.protocol.StorePosition
import org.parsleymoor.entry.protocol.StoredObject
import strikt.api.expectThat
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo

/** Which instances count as alive when the object store comes back from a copy that lacks some registrations. */
class MemberObservationsTest {
    private val observations = MemberObservations(HEARTBEAT_MILLIS, EXPIRY_MILLIS)

    // Shared limits are divided by the number of instances: each missing one makes the parts of the others grow.
    @ParameterizedTest
    @ValueSource(ints = [9, 50, 300])
    fun `instances whose registration is gone count until they have written it again`(count: Int) {
        val all = (1..count).map { "i$it" }
        val copied = all.take(count / 3)
        observations.update(list(0, 1_000, all), 0)
        // Each instance writes at its own time within a heartbeat, as the registrations come back one after the other.
        (0..HEARTBEAT_MILLIS step 500).forEach { sinceRestoreMillis ->
            val written = (count * sinceRestoreMillis / HEARTBEAT_MILLIS).toInt()
            val alive = observations.update(
                list(1, 900 + sinceRestoreMillis, (copied + all.take(written)).distinct()),
                HEARTBEAT_MILLIS + sinceRestoreMillis,
            )
            expectThat(alive.size).isGreaterThanOrEqualTo(count)
        }
    }

    // Otherwise an instance that ended during the restore keeps its part of the shared limits for good.
    @Test
    fun `an instance that does not write its registration again is dropped after two heartbeats`() {
        observations.update(list(0, 1_000, listOf("a", "gone")), 0)
        observations.update(list(1, 900, listOf("a")), 6_000)
        observations.update(list(1, 905, listOf("a")), 12_000)
        val alive = observations.update(list(1, 910, listOf("a")), 18_000)
        expectThat(alive.map { it.name }).containsExactlyInAnyOrder("a")
    }

    // A revision that was given out again would look like an instance that has been silent since before the restore.
    @Test
    fun `another heartbeat at the same revision of a later era is a change`() {
        observations.update(list(0, 1_000, listOf("a")), 0)
        observations.update(list(0, 1_000, listOf("a")), 18_000)
        val alive = observations.update(list(1, 1_000, listOf("a"), content = "{later}"), 36_000)
        expectThat(alive.size).isEqualTo(1)
    }

    // Registrations of instances that crashed long ago would take part in shared limits again.
    @Test
    fun `a restore does not revive an instance that has expired`() {
        (0L..42_000L step HEARTBEAT_MILLIS).forEach { observations.update(list(0, 1_000, listOf("dead")), it) }
        val alive = observations.update(list(1, 900, listOf("dead")), 48_000)
        expectThat(alive.size).isEqualTo(0)
    }

    private fun list(era: Long, revision: Long, names: List<String>, content: String = "{}") =
        ObjectList(names.map { StoredObject(it, revision, content) }, StorePosition(era, revision))

    private companion object {
        const val HEARTBEAT_MILLIS = 6_000L
        const val EXPIRY_MILLIS = 20_000L
    }
}
