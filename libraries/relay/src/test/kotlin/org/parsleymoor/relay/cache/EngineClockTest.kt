package org.parsleymoor.relay.cache

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

class EngineClockTest {
    private val clock = EngineClock()

    @Test
    fun `the engines' clock is unknown before the first report and follows the last quick report`() {
        expectThat(clock.at(1_000)).isNull()
        clock.updateFromOwnPoll(clockMillis = 5_010, askedMillis = 1_000, answeredMillis = 1_020)
        expectThat(clock.at(2_000)).isEqualTo(6_000)
    }

    // A slow report would shift the deadline of fetches by up to its own duration.
    @Test
    fun `a slow report does not change the estimate`() {
        clock.updateFromOwnPoll(clockMillis = 5_010, askedMillis = 1_000, answeredMillis = 1_020)
        clock.updateFromOwnPoll(clockMillis = 9_000, askedMillis = 1_000, answeredMillis = 1_400)
        expectThat(clock.at(2_000)).isEqualTo(6_000)
    }
}
