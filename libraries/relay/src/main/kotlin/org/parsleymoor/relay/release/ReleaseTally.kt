package org.parsleymoor.relay.release

import org.parsleymoor.core.EndpointId
import org.parsleymoor.relay.limits.SlidingWindowCounter

/** What this instance counts for one order. Not thread-safe. */
internal class ReleaseTally {
    private val routes = HashMap<Pair<String, Boolean>, AnswerCounts>()
    private val endpoints = HashMap<Pair<EndpointId, String>, AnswerCounts>()
    private val sentToTarget = SlidingWindowCounter(SENT_MILLIS)
    private val sentToOthers = SlidingWindowCounter(SENT_MILLIS)
    private var atOthers = 0
    private var unrepeatable = 0

    /** Counts a request that is sent to the target, or to another release. */
    fun sent(ofTarget: Boolean, repeatable: Boolean, nowMillis: Long) {
        (if (ofTarget) sentToTarget else sentToOthers).add(nowMillis)
        if (!ofTarget) atOthers++
        if (!ofTarget && !repeatable) unrepeatable++
    }

    /** Counts the end of such a request. */
    fun ended(ofTarget: Boolean, repeatable: Boolean) {
        if (!ofTarget) atOthers--
        if (!ofTarget && !repeatable) unrepeatable--
    }

    /** Counts the answer of [endpoint], which is of the target or not, to a request on [route]. */
    fun count(endpoint: EndpointId, ofTarget: Boolean, route: String, counts: AnswerCounts) {
        routes.merge(route to ofTarget, counts, AnswerCounts::plus)
        if (ofTarget) endpoints.merge(endpoint to route, counts, AnswerCounts::plus)
    }

    /** Returns the requests of this instance; [inFlight] at other releases include those from before the order. */
    fun flow(inFlight: Int, nowMillis: Long) = ReleaseFlow(
        atOthers = maxOf(atOthers, inFlight),
        unrepeatable = unrepeatable,
        sentToOthers = sentToOthers.count(nowMillis),
        sentToTarget = sentToTarget.count(nowMillis),
    )

    /** Returns the answers by route. */
    fun routeAnswers(): List<RouteAnswers> =
        routes.map { (key, counts) -> RouteAnswers(key.first, key.second, counts) }

    /** Returns the answers of the endpoints of the target that have the most bad ones. */
    fun endpointAnswers(): List<EndpointAnswers> = endpoints.entries.groupBy { it.key.first }.values
        .filter { rows -> rows.any { it.value.badCount > 0 } }
        .sortedByDescending { rows -> rows.sumOf { it.value.badCount } }.take(MAX_ENDPOINTS)
        .flatMap { rows -> rows.map { EndpointAnswers(it.key.first, it.key.second, it.value) } }

    private companion object {
        const val SENT_MILLIS = 1_000L
        const val MAX_ENDPOINTS = 4
    }
}
