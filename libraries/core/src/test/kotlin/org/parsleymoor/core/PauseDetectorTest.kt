package org.parsleymoor.core

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class PauseDetectorTest {
    private val clock = ManualClock()
    private var wall = 1_000L
    private val detector = PauseDetector(clock) { wall }

    @Test
    fun `time that passes on both clocks is no pause`() {
        clock.advance(5_000)
        wall += 5_050
        expectThat(detector.pausedSinceLastCall()).isFalse()
    }

    // A suspended holder of a lease must not use it after it wakes.
    @Test
    fun `a suspension is noticed once, although the monotonic clock stood still`() {
        wall += 3_000
        expectThat(detector.pausedSinceLastCall()).isTrue()
        expectThat(detector.pausedSinceLastCall()).isFalse()
    }

    @Test
    fun `a time of day that is set back counts as a pause`() {
        wall -= 2_000
        expectThat(detector.pausedSinceLastCall()).isTrue()
    }
}
