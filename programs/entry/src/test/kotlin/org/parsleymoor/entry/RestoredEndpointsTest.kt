package org.parsleymoor.entry

import org.junit.jupiter.api.Test
import org.parsleymoor.core.Clock
import org.parsleymoor.core.InstanceId
import org.parsleymoor.entry.control.EndpointListener
import org.parsleymoor.entry.protocol.ObjectChange
import org.parsleymoor.entry.protocol.StoredObject
import org.parsleymoor.entry.serving.DeploymentView
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEmpty

/** Endpoints that come back, or are missing, when the object store comes back from an older copy. */
class RestoredEndpointsTest {
    private var nowMillis = 0L
    private val deployment = DeploymentView(InstanceId("self"))
    private val clock = Clock { nowMillis }
    private val listener =
        EndpointListener(deployment, EndpointContentDecoder, SILENT_LOG, clock, heartbeatMillis = HEARTBEAT_MILLIS)

    // A request must not reach an endpoint later than the drain time after this instance learned that it is leaving.
    @Test
    fun `a draining endpoint goes on draining when the copy says that it is ready, but not another start of it`() {
        list(era = 0, entry("a", 10, "ready 1"), entry("b", 11, "draining 1"))
        list(era = 1, entry("a", 5, "ready 1"), entry("b", 6, "ready 1"))
        expectThat(serving()).containsExactly("a")
        change(entry("b", 8, "ready 1"))
        expectThat(serving()).containsExactly("a")
        change(entry("b", 9, "ready 2"))
        expectThat(serving()).containsExactlyInAnyOrder("a", "b")
    }

    // Some endpoints leave without draining; the copy still lists them while they serve out their last requests.
    @Test
    fun `an endpoint that had been removed is used only if it is still listed after the silence of a dead one`() {
        list(era = 0, entry("a", 10, "ready 1"), entry("gone", 11, "ready 1"), entry("alive", 12, "ready 1"))
        change(entry("gone", 11, "ready 1"), removed = true)
        change(entry("alive", 12, "ready 1"), removed = true)
        list(era = 1, entry("a", 5, "ready 1"), entry("gone", 6, "ready 1"), entry("alive", 7, "ready 1"))
        expectThat(serving()).containsExactly("a")
        nowMillis += 3 * HEARTBEAT_MILLIS
        listener.onKnownCurrent(nowMillis)
        expectThat(serving()).containsExactly("a")
        change(entry("gone", 6, "ready 1"), removed = true)
        nowMillis += HEARTBEAT_MILLIS
        listener.onKnownCurrent(nowMillis)
        expectThat(serving()).containsExactlyInAnyOrder("a", "alive")
    }

    // Otherwise a live endpoint stays unused for several heartbeats.
    @Test
    fun `a withheld endpoint is used when its entry changes, and another start of it at once`() {
        list(era = 0, entry("a", 10, "ready 1"), entry("b", 11, "ready 1"))
        list(era = 0, entry("c", 12, "ready 1"))
        list(era = 1, entry("a", 5, "ready 1"), entry("b", 6, "ready 2"))
        expectThat(serving()).containsExactlyInAnyOrder("b", "c")
        change(entry("a", 8, "ready 1"))
        expectThat(serving()).containsExactlyInAnyOrder("a", "b", "c")
    }

    // Endpoints that registered after the copy was made need two seconds to register again.
    @Test
    fun `endpoints that the copy lacks stay in use until they can register again`() {
        list(era = 0, entry("a", 10, "ready 1"), entry("new", 11, "ready 1"), entry("lost", 12, "ready 1"))
        list(era = 1, entry("a", 5, "ready 1"))
        expectThat(serving()).containsExactlyInAnyOrder("a", "new", "lost")
        change(entry("new", 8, "ready 1"))
        nowMillis += 2_000
        deployment.endpoints.expire(nowMillis)
        expectThat(serving()).containsExactlyInAnyOrder("a", "new")
    }

    // An endpoint that was silent for a while and registers again is sound; only an older copy brings dead ones back.
    @Test
    fun `an endpoint that registers again in the same era is used at once`() {
        list(era = 0, entry("a", 10, "ready 1"))
        change(entry("a", 10, "ready 1"), removed = true)
        expectThat(serving()).isEmpty()
        change(entry("a", 12, "ready 1"))
        expectThat(serving()).containsExactly("a")
    }

    private fun serving() = deployment.endpoints.serving("s").map { it.entry.id.value }

    private var era = -1L

    private fun list(era: Long, vararg entries: StoredObject) {
        listener.onKnownCurrent(nowMillis)
        if (era != this.era) listener.onEra(era)
        this.era = era
        listener.onList(entries.toList())
    }

    private fun change(entry: StoredObject, removed: Boolean = false) {
        listener.onChange(ObjectChange(entry, removed))
    }

    private fun entry(name: String, revision: Long, content: String) = StoredObject(name, revision, content)

    private companion object {
        const val HEARTBEAT_MILLIS = 1_200L
    }
}
