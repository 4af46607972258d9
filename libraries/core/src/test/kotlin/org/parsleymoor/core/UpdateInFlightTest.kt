package org.parsleymoor.core

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

class UpdateInFlightTest {
    private val update = UpdateInFlight<String>(responseMillis = 100).also { it.start(PendingUpdate("w1", 0, "a")) }

    /** Guards against a late response to an earlier write that ends the present one. */
    @Test
    fun `a response to another write changes nothing`() {
        expectThat(update.end("w0")).isNull()
        expectThat(update.pending?.writeId).isEqualTo("w1")
    }

    /** Guards against an update that is waited for without end. */
    @Test
    fun `an update without a response is doubted when it is overdue`() {
        update.markOverdueUncertain(99)
        expectThat(update.pending?.uncertain).isEqualTo(false)
        update.markOverdueUncertain(100)
        expectThat(update.pending?.uncertain).isEqualTo(true)
    }

    /** Guards against a read that ends a write whose response is still to come. */
    @Test
    fun `only a doubted update ends with a read`() {
        update.endUncertain()
        expectThat(update.pending?.writeId).isEqualTo("w1")
        update.markUncertain()
        update.endUncertain()
        expectThat(update.pending).isNull()
    }
}
