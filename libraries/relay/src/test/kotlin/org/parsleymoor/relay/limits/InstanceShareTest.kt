package org.parsleymoor.relay.limits

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class InstanceShareTest {
    private val times = RegistrationTimes(listMillis = 6_000, expiryMillis = 20_000)
    private val share = InstanceShare(times, windowMillis = 10_000)

    // The share of an instance that starts was added to those of instances that did not count it yet.
    @Test
    fun `an instance has no share before the others count it`() {
        expectThat(share.at(0)).isEqualTo(0.0)
        share.renewed(0)
        share.listed(instances = 4, atMillis = 0)
        expectThat(share.at(16_900)).isEqualTo(0.0)
        expectThat(share.at(17_000)).isEqualTo(0.25)
    }

    // An instance that cannot reach the store kept a share that the others had divided among themselves.
    @Test
    fun `an instance has no share once the others may have stopped counting it, until it has settled again`() {
        share.renewed(0)
        share.listed(instances = 4, atMillis = 0)
        expectThat(share.at(19_999)).isEqualTo(0.25)
        expectThat(share.at(20_000)).isEqualTo(0.0)
        share.renewed(30_000)
        expectThat(share.at(30_000)).isEqualTo(0.0)
        expectThat(share.at(47_000)).isEqualTo(0.25)
    }

    // The others took over the share of an instance whose retries were still in the window.
    @Test
    fun `a share grows a window after others have gone and shrinks at once when others come`() {
        (0L..60_000L step 6_000).forEach { share.renewed(it) }
        share.listed(instances = 4, atMillis = 0)
        share.listed(instances = 2, atMillis = 30_000)
        expectThat(share.at(39_999)).isEqualTo(0.25)
        expectThat(share.at(40_000)).isEqualTo(0.5)
        share.listed(instances = 8, atMillis = 41_000)
        expectThat(share.at(41_000)).isEqualTo(0.125)
    }
}
