package org.parsleymoor.core

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class PauseDetectorTest {
    private val clock = ManualClock()
    private var wallMillis = 1_000L
    private val detector = PauseDetector(clock) { wallMillis }

    @Test
    fun `time that passes on both clocks is not a pause`() {
        clock.advance(5_000)
        wallMillis += 5_050
        expectThat(detector.pausedSinceLastCall()).isFalse()
    }

    // A lease holder that was suspended must not use its lease after it resumes.
    @Test
    fun `a suspension is detected once, although the monotonic clock stood still`() {
        wallMillis += 3_000
        expectThat(detector.pausedSinceLastCall()).isTrue()
        expectThat(detector.pausedSinceLastCall()).isFalse()
    }

    @Test
    fun `a time of day that is set back counts as a pause`() {
        wallMillis -= 2_000
        expectThat(detector.pausedSinceLastCall()).isTrue()
    }
}
