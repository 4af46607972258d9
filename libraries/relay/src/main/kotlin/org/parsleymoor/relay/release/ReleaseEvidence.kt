package org.parsleymoor.relay.release

import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.InstanceId

/**
 * The answers that all instances report for one order. Each report repeats all that its instance has counted, so that
 * lost ones lose nothing. Not thread-safe.
 */
public class ReleaseEvidence(private val comparison: ReleaseComparison = ReleaseComparison()) {
    private val newest = HashMap<InstanceId, Received>()
    private var totals = Totals()
    private val windows = ArrayDeque<Totals>()
    private var windowMillis: Long? = null

    private class Received(val report: ReleaseReport, val atMillis: Long)

    private data class EndpointRoute(val endpoint: EndpointId, val route: String)

    private data class Totals(
        val answers: ReleaseAnswers = ReleaseAnswers(emptyMap(), emptyMap()),
        val byEndpoint: Map<EndpointRoute, AnswerCounts> = emptyMap(),
    )

    /** Takes over [report], which arrived at [nowMillis]. */
    public fun learn(report: ReleaseReport, nowMillis: Long) {
        val before = newest[report.origin]?.report
        // One that was overtaken on the way would look like a restart, and its counts would be added once more.
        if (before != null && report.orderAgeMillis < before.orderAgeMillis) return
        newest[report.origin] = Received(report, nowMillis)
        startWindow(nowMillis)
        totals = Totals(
            answers = ReleaseAnswers(
                target = totals.answers.target.plusGrowth(before.routes(ofTarget = true), report.routes(true)),
                others = totals.answers.others.plusGrowth(before.routes(ofTarget = false), report.routes(false)),
            ),
            byEndpoint = totals.byEndpoint.plusGrowth(before.byEndpoint(), report.byEndpoint()),
        )
    }

    /** The reports that arrived within [lifeMillis], by instance. */
    public fun recent(nowMillis: Long, lifeMillis: Long): Map<InstanceId, ReleaseReport> =
        newest.filterValues { nowMillis - it.atMillis < lifeMillis }.mapValues { it.value.report }

    /** Number of answers of the target release. */
    public val targetAnswers: Long get() = totals.answers.target.values.sumOf { it.answered }

    /** Number of failures of the target release. */
    public val targetFailures: Long get() = totals.answers.target.values.sumOf { it.failed }

    /**
     * Returns in what the target is worse than the other releases, over any time up to now, or null. With [endpoints]
     * of the target in use, it has to be worse without its worst endpoint too, which may fail for a reason of its own.
     */
    public fun worse(endpoints: Int): String? = (windows + Totals()).firstNotNullOfOrNull { start ->
        val answers = answersSince(start)
        comparison.worse(answers)?.takeIf {
            endpoints < MIN_ENDPOINTS_TO_EXCLUDE || comparison.worse(withoutWorstEndpoint(answers, start)) != null
        }
    }

    /** Returns what does not yet show that the target is as good as the others, or null; see [ReleaseComparison]. */
    public fun unproven(ratio: Double): String? = comparison.unproven(totals.answers, ratio)

    private fun startWindow(nowMillis: Long) {
        if (windowMillis?.let { nowMillis - it < WINDOW_MILLIS } == true) return
        windowMillis = nowMillis
        windows += totals
        if (windows.size > MAX_WINDOWS) windows.removeFirst()
    }

    /** Compares with all earlier answers of the other releases where they have hardly any since [start]. */
    private fun answersSince(start: Totals): ReleaseAnswers {
        val since = totals.answers.since(start.answers)
        return since.copy(
            others = since.others.mapValues { (route, counts) ->
                if (counts.answered < MIN_OTHER_ANSWERS) totals.answers.others.getValue(route) else counts
            },
        )
    }

    private fun withoutWorstEndpoint(answers: ReleaseAnswers, start: Totals): ReleaseAnswers {
        val bad = totals.byEndpoint.mapValues { (key, counts) -> counts - (start.byEndpoint[key] ?: AnswerCounts()) }
        val worst = bad.entries.groupBy { it.key.endpoint }
            .maxByOrNull { (_, routes) -> routes.sumOf { it.value.badCount } }?.key
        val excluded = bad.filterKeys { it.endpoint == worst }.mapKeys { it.key.route }
        return answers.copy(
            target = answers.target.mapValues { (route, counts) -> excluded[route]?.let { counts - it } ?: counts },
        )
    }

    private fun ReleaseReport?.routes(ofTarget: Boolean): Map<String, AnswerCounts> =
        this?.routes.orEmpty().filter { it.ofTarget == ofTarget }.associate { it.route to it.counts }

    private fun ReleaseReport?.byEndpoint(): Map<EndpointRoute, AnswerCounts> =
        this?.endpoints.orEmpty().associate { EndpointRoute(it.endpoint, it.route) to it.counts }

    private companion object {
        const val WINDOW_MILLIS = 1_000L
        const val MAX_WINDOWS = 60
        const val MIN_OTHER_ANSWERS = 20

        // With fewer, an endpoint's own failures cannot be told from those of the release.
        const val MIN_ENDPOINTS_TO_EXCLUDE = 3
    }
}

/** Number of failed or slow answers. */
internal val AnswerCounts.badCount: Long get() = failed + times.drop(FIRST_SLOW_CLASS).sum()

// Two and a half times the expected time.
private const val FIRST_SLOW_CLASS = 5

/** Adds what has been counted between two reports of an instance, which counts from 0 again after a restart. */
private fun <K> Map<K, AnswerCounts>.plusGrowth(
    before: Map<K, AnswerCounts>,
    after: Map<K, AnswerCounts>,
): Map<K, AnswerCounts> = this + after.map { (key, counts) ->
    val known = before[key]?.takeUnless { counts.restartedSince(it) } ?: AnswerCounts()
    key to (this[key] ?: AnswerCounts()) + (counts - known)
}
