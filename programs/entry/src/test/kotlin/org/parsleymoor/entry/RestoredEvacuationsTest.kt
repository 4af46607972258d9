package org.parsleymoor.entry

import org.junit.jupiter.api.Test
import org.parsleymoor.core.Clock
import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.ZoneId
import org.parsleymoor.entry.control.EvacuationListener
import org.parsleymoor.entry.protocol.ContentDecoder
import org.parsleymoor.entry.protocol.ObjectChange
import org.parsleymoor.entry.protocol.StoredObject
import org.parsleymoor.entry.serving.DeploymentView
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty

/** Evacuations of zones that the object store lacks when it comes back from an older copy. */
class RestoredEvacuationsTest {
    private var nowMillis = 0L
    private val deployment = DeploymentView(InstanceId("self"))
    private val decoder = object : ContentDecoder {
        override fun evacuatedZone(name: String) = ZoneId(name)

        override fun configuration(content: String) = error("not used")

        override fun endpoint(name: String, content: String) = error("not used")

        override fun weights(content: String) = error("not used")
    }
    private val listener =
        EvacuationListener(deployment, decoder, SILENT_LOG, Clock { nowMillis }, keepMillis = KEEP_MILLIS)

    // Requests must not go to the zone between the restore and the time at which operators evacuate it again.
    @Test
    fun `a zone stays evacuated while operators can write the evacuation again`() {
        restoreWithoutEvacuation()
        nowMillis += KEEP_MILLIS - 1
        listener.onKnownCurrent(nowMillis)
        expectThat(evacuated()).containsExactly("a")
        change(removed = false)
        nowMillis += KEEP_MILLIS
        listener.onKnownCurrent(nowMillis)
        expectThat(evacuated()).containsExactly("a")
    }

    // Otherwise a zone whose evacuation was taken back during the restore serves nothing any more.
    @Test
    fun `a zone whose evacuation is not written again is used after a bounded time`() {
        restoreWithoutEvacuation()
        nowMillis += KEEP_MILLIS
        listener.onKnownCurrent(nowMillis)
        expectThat(evacuated()).isEmpty()
    }

    @Test
    fun `the removal of an evacuation ends it at once`() {
        restoreWithoutEvacuation()
        change(removed = true)
        expectThat(evacuated()).isEmpty()
    }

    // Without a restore, a list without the evacuation means that operators have removed it.
    @Test
    fun `a list of the same era without the evacuation ends it at once`() {
        listener.onEra(0)
        listener.onList(listOf(StoredObject("a", 1, "{}")))
        listener.onList(emptyList())
        expectThat(evacuated()).isEmpty()
    }

    private fun restoreWithoutEvacuation() {
        listener.onEra(0)
        listener.onList(listOf(StoredObject("a", 1, "{}")))
        listener.onEra(1)
        listener.onList(emptyList())
        expectThat(evacuated()).containsExactly("a")
    }

    private fun change(removed: Boolean) {
        listener.onChange(ObjectChange(StoredObject("a", 2, "{}"), removed))
    }

    private fun evacuated() = deployment.endpoints.evacuated.map { it.value }

    private companion object {
        const val KEEP_MILLIS = 10_000L
    }
}
