package org.parsleymoor.relay.release

import kotlin.math.exp
import kotlin.math.ln

/** Answers of the target release and of the other ones on the same routes in the same time. */
public data class ReleaseAnswers(
    public val target: Map<String, AnswerCounts>,
    public val others: Map<String, AnswerCounts>,
) {
    /** Returns the answers since [earlier]. */
    public fun since(earlier: ReleaseAnswers): ReleaseAnswers = ReleaseAnswers(
        target.mapValues { (route, counts) -> counts - (earlier.target[route] ?: AnswerCounts()) },
        others.mapValues { (route, counts) -> counts - (earlier.others[route] ?: AnswerCounts()) },
    )
}

/**
 * Compares the answers of two releases by likelihood ratios, on each route and over all: how much more likely the
 * target's bad answers are if it is bad more often than the other releases than if it is not. If the target is as good,
 * a ratio ever reaches [worseRatio] with a probability of at most 1 / [worseRatio], however often it is computed.
 */
public class ReleaseComparison(private val worseRatio: Double = WORSE_RATIO) {
    /** Returns in what the target is worse, or null if that is not shown by [answers]. */
    public fun worse(answers: ReleaseAnswers): String? = samples(answers).firstNotNullOfOrNull { sample ->
        sample.takeIf { it.mixedRatio >= worseRatio }?.describe()
    }

    /**
     * Returns the first sample that does not show that the target is as good: on each route with enough answers of the
     * other releases, failures and slow answers that are more frequent by [MAIN_EXCESS] have to be less likely than
     * none by [ratio].
     */
    public fun unproven(answers: ReleaseAnswers, ratio: Double): String? {
        val judged = samples(answers)
        if (judged.isEmpty()) return "no answers to compare"
        return judged.firstOrNull { it.ratio(MAIN_EXCESS) > ratio }?.describe()
    }

    private fun samples(answers: ReleaseAnswers): List<Sample> {
        val routes = answers.others.filterValues { it.answered >= MIN_OTHER_ANSWERS }.keys
        val all = routes.map { it to ((answers.target[it] ?: AnswerCounts()) to answers.others.getValue(it)) }
        val sums = all.map { it.second }.reduceOrNull { a, b -> a.first + b.first to a.second + b.second }
        val compared = all.map { (route, pair) -> "on route $route" to pair } +
            listOfNotNull(sums?.takeIf { all.size > 1 }?.let { "on all routes" to it })
        return compared.flatMap { (where, pair) ->
            listOf(failures(where, pair.first, pair.second), slowness(where, pair.first, pair.second))
        }
    }

    private fun failures(where: String, target: AnswerCounts, others: AnswerCounts) =
        Sample("failed $where", target.failed, target.answered, others.failed, others.answered)

    /** Compares how many answers took longer than nearly all of the other releases. */
    private fun slowness(where: String, target: AnswerCounts, others: AnswerCounts): Sample {
        val timed = others.times.sum()
        var slow = 0L
        var first = AnswerCounts.TIME_CLASSES
        while (first > 1 && slow + others.times[first - 1] <= timed * USUAL_SLOW_SHARE) {
            first--
            slow += others.times[first]
        }
        // One class is left between, because a class is about half as wide as its bounds are high.
        val from = first + 1
        val slowOthers = others.times.drop(from).sum()
        return Sample("slow $where", target.times.drop(from).sum(), target.times.sum(), slowOthers, timed)
    }

    /** [bad] of [total] answers of the target against [otherBad] of [otherTotal]. */
    private class Sample(
        private val what: String,
        private val bad: Long,
        private val total: Long,
        private val otherBad: Long,
        private val otherTotal: Long,
    ) {
        private val usual: Double =
            ((otherBad + 1.0) / (otherTotal + 2.0)).coerceIn(MIN_USUAL_SHARE, MAX_USUAL_SHARE)

        fun ratio(excess: Double): Double {
            val alternative = (usual + excess).coerceAtMost(MAX_ALTERNATIVE)
            val good = total - bad
            return exp(bad * ln(alternative / usual) + good * ln((1 - alternative) / (1 - usual)))
        }

        /** The mean over several alternatives, which is bounded like each of them. */
        val mixedRatio: Double get() = EXCESSES.map(::ratio).average()

        fun describe(): String =
            "$bad of $total answers of the new release $what, $otherBad of $otherTotal of the others"
    }

    private companion object {
        // With a window per second of a minute and a dozen samples in each, fewer than one good release in a hundred
        // is rolled back.
        const val WORSE_RATIO = 100_000.0
        const val MAIN_EXCESS = 0.12
        val EXCESSES = listOf(0.04, MAIN_EXCESS, 0.4)
        const val MIN_OTHER_ANSWERS = 20
        const val USUAL_SLOW_SHARE = 0.1
        const val MIN_USUAL_SHARE = 0.01
        const val MAX_USUAL_SHARE = 0.5
        const val MAX_ALTERNATIVE = 0.95
    }
}
