package org.parsleymoor.standins

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isLessThan
import strikt.assertions.isNotEqualTo
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.random.Random

/** Guards against processes of a trial that do not start because their port was taken in the meantime. */
class FreePortsTest {
    @Test
    fun `ports lie below those of outgoing connections`() {
        val ports = FreePorts()
        expectThat(List(100) { ports.next() }).all { isLessThan(FIRST_OUTGOING) }
    }

    @Test
    fun `a port in use is not given out`() {
        val first = FreePorts(Random(SEED)).next()
        ServerSocket(first, 1, InetAddress.getLoopbackAddress()).use {
            expectThat(FreePorts(Random(SEED)).next()).isNotEqualTo(first)
        }
    }

    private companion object {
        const val FIRST_OUTGOING = 32_768
        const val SEED = 1
    }
}
