package org.parsleymoor.relay.limits

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue

class HeldBytesTest {
    private val account = HeldBytes(limitBytes = 1_000)

    // Otherwise one endless message would leave nothing for all others.
    @Test
    fun `one holder gets no more than half of the limit`() {
        val holder = account.newHolder()
        expectThat(holder.tryResize(500)).isTrue()
        expectThat(holder.tryResize(501)).isFalse()
        expectThat(account.totalBytes).isEqualTo(500)
    }

    // Each bound holds by itself; the sum of the holders is what runs out of memory.
    @Test
    fun `many holders that grow for ever stay below the limit and leave room for a small one`() {
        val holders = List(19) { account.newHolder() }
        repeat(1_000) { holders.forEach { it.tryResize(it.bytes + 1) } }
        expectThat(account.totalBytes).isLessThanOrEqualTo(950)
        expectThat(account.newHolder().tryResize(25)).isTrue()
    }

    // A release that were counted twice would make the account larger than the heap.
    @Test
    fun `a second release gives nothing back`() {
        val holder = account.newHolder().also { it.tryResize(100) }
        account.newHolder().tryResize(50)
        repeat(2) { holder.release() }
        expectThat(account.totalBytes).isEqualTo(50)
    }
}
