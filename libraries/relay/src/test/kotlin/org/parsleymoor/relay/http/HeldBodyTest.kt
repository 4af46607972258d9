package org.parsleymoor.relay.http

import org.junit.jupiter.api.Test
import org.parsleymoor.relay.limits.HeldBytes
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThan
import strikt.assertions.isTrue

class HeldBodyTest {
    private val account = HeldBytes(limitBytes = 20_000_000)
    private val body = HeldBody(account)

    // An array for each read would take many times the bytes of a body that arrives in small ones.
    @Test
    fun `a body that arrives byte by byte takes little more than its size`() {
        repeat(1_000_000) { body.append(byteArrayOf(('0'.code + it % 10).toByte())) }
        expectThat(body.size).isEqualTo(1_000_000)
        expectThat(account.totalBytes).isLessThan(1_020_000)
        expectThat(body.decodeToString()).isEqualTo("0123456789".repeat(100_000))
    }

    @Test
    fun `a body that finds no room keeps what it has until it is released`() {
        expectThat(body.append(ByteArray(9_000_000))).isTrue()
        expectThat(body.append(ByteArray(2_000_000))).isFalse()
        expectThat(body.size).isEqualTo(9_000_000)
        body.release()
        expectThat(account.totalBytes).isEqualTo(0)
    }
}
