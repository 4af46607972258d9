package org.parsleymoor.explore

/** An invariant that did not hold: what was [expected], what was [found], and when. */
internal data class Violation(
    val invariant: String,
    val expected: String,
    val found: String,
    val atMillis: Long,
)

/** A history in which an invariant did not hold, with its last events. */
internal data class Counterexample(
    val world: WorldKind,
    val seed: Long,
    val step: Long,
    val violation: Violation,
    val events: List<String>,
)
