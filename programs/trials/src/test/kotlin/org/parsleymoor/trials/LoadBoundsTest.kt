package org.parsleymoor.trials

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty

/** Guards against a gateway that has become slower or larger and still passes. */
class LoadBoundsTest {
    private val atBounds = LoadReport(
        seconds = 10,
        concurrency = 16,
        requests = 1_000,
        wrongAnswers = 0,
        directRequestsPerSecond = 1_000,
        gatewayRequestsPerSecond = 200,
        pacedRequestsPerSecond = 200,
        directP50Micros = 1_000,
        directP99Micros = 2_000,
        addedP50Micros = 3_800,
        addedP99Micros = 29_000,
        idleMegabytes = 100,
        loadedMegabytes = 768,
        processorMicrosPerRequest = 5_000,
    )

    @Test
    fun `figures at their bounds pass`() {
        expectThat(LoadBounds.missed(atBounds)).isEmpty()
    }

    @Test
    fun `each figure past its bound is named with the bound`() {
        val past = atBounds.copy(
            gatewayRequestsPerSecond = 199,
            addedP50Micros = 3_801,
            addedP99Micros = 29_001,
            loadedMegabytes = 769,
            processorMicrosPerRequest = 5_001,
        )
        expectThat(LoadBounds.missed(past)).containsExactly(
            "expected gatewayRequestsPerSecond of at least 200, found 199",
            "expected addedP50Micros of at most 3800, found 3801",
            "expected addedP99Micros of at most 29000, found 29001",
            "expected loadedMegabytes of at most 768, found 769",
            "expected processorMicrosPerRequest of at most 5000, found 5001",
        )
    }
}
