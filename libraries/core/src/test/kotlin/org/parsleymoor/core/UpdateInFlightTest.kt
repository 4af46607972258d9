package org.parsleymoor.core

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

class UpdateInFlightTest {
    private val update = UpdateInFlight<String>(responseMillis = 100).also { it.start(PendingUpdate("w1", 0, "a")) }

    /** A late response to an earlier write must not end the current one. */
    @Test
    fun `a response to another write changes nothing`() {
        expectThat(update.end("w0")).isNull()
        expectThat(update.pending?.writeId).isEqualTo("w1")
    }

    /** An update whose response is lost must not wait forever. */
    @Test
    fun `an update becomes uncertain when its response is overdue`() {
        update.markOverdueUncertain(99)
        expectThat(update.pending?.uncertain).isEqualTo(false)
        update.markOverdueUncertain(100)
        expectThat(update.pending?.uncertain).isEqualTo(true)
    }

    /** A read must not end a write whose response may still arrive. */
    @Test
    fun `only an uncertain update is ended by a read`() {
        update.endUncertain()
        expectThat(update.pending?.writeId).isEqualTo("w1")
        update.markUncertain()
        update.endUncertain()
        expectThat(update.pending).isNull()
    }
}
