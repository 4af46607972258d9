package org.parsleymoor.explore

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull

/** Guards the invariants against every combination of failures that the fixed seeds draw, a million steps in all. */
internal class ExplorationTest {
    @ParameterizedTest
    @EnumSource(WorldKind::class)
    fun `no invariant is violated`(kind: WorldKind) {
        val exploration = explore(kind, firstSeed = 1) { steps -> steps >= STEPS_PER_WORLD }

        expectThat(exploration.counterexample).isNull()
    }

    @ParameterizedTest
    @EnumSource(SeededFault::class)
    fun `a fault that is seeded into a mechanism is found`(fault: SeededFault) {
        val exploration = explore(fault.world, firstSeed = 1, fault) { steps -> steps >= MOST_STEPS_TO_FIND }

        expectThat(exploration.counterexample).isNotNull()
    }

    @ParameterizedTest
    @EnumSource(WorldKind::class)
    fun `the same seed gives the same history`(kind: WorldKind) {
        val first = explore(kind, firstSeed = 7) { steps -> steps >= 1 }

        val second = explore(kind, firstSeed = 7) { steps -> steps >= 1 }

        expectThat(second.steps).isEqualTo(first.steps)
    }

    private companion object {
        const val STEPS_PER_WORLD = 300_000L
        const val MOST_STEPS_TO_FIND = 5_000_000L
    }
}
