package org.parsleymoor.relay.release

/**
 * Answers to requests: [failed] of the [answered] failed, and [times] counts those whose time is known by their time
 * against the expected one, in the classes of [timeClass].
 */
public data class AnswerCounts(
    public val answered: Long = 0,
    public val failed: Long = 0,
    public val times: List<Long> = NO_TIMES,
) {
    public operator fun plus(other: AnswerCounts): AnswerCounts = combine(other) { a, b -> a + b }

    public operator fun minus(other: AnswerCounts): AnswerCounts =
        combine(other) { a, b -> (a - b).coerceAtLeast(0) }

    /** Whether one of these counts is lower than that of [earlier], so that they do not continue it. */
    public fun restartedSince(earlier: AnswerCounts): Boolean =
        answered < earlier.answered || failed < earlier.failed ||
            times.indices.any { times[it] < earlier.times.getOrElse(it) { 0 } }

    private fun combine(other: AnswerCounts, operation: (Long, Long) -> Long): AnswerCounts = AnswerCounts(
        answered = operation(answered, other.answered),
        failed = operation(failed, other.failed),
        times = List(TIME_CLASSES) { index ->
            operation(times.getOrElse(index) { 0 }, other.times.getOrElse(index) { 0 })
        },
    )

    public companion object {
        /** Number of classes of times. */
        public const val TIME_CLASSES: Int = 12

        private val NO_TIMES = List(TIME_CLASSES) { 0L }
        private const val FIRST_BOUND = 0.5

        // Releases that are several times slower move their answers by two classes or more.
        private const val BOUND_FACTOR = 1.5

        /** Returns the class of an answer after [millis] when [expectedMillis] were expected. */
        public fun timeClass(millis: Long, expectedMillis: Double): Int {
            var bound = FIRST_BOUND * expectedMillis.coerceAtLeast(1.0)
            var index = 0
            while (index < TIME_CLASSES - 1 && millis > bound) {
                bound *= BOUND_FACTOR
                index++
            }
            return index
        }

        /** Returns the counts of one answer; [timeClass] is null if its time says nothing about the release. */
        public fun of(failed: Boolean, timeClass: Int?): AnswerCounts = AnswerCounts(
            answered = 1,
            failed = if (failed) 1 else 0,
            times = List(TIME_CLASSES) { if (it == timeClass) 1L else 0L },
        )
    }
}
