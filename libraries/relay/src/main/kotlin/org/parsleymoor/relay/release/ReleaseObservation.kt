package org.parsleymoor.relay.release

import org.parsleymoor.core.EndpointId
import org.parsleymoor.relay.fleet.EndpointState

/** How a request at an endpoint ended, as far as it tells about the release of the endpoint. */
public enum class ObservedResult { ANSWERED, FAILED, NOT_RUN, GIVEN_UP }

/** A request that is sent on [route], whose time is expected to be [expectedMillis]. */
public data class ObservedRequest(
    public val route: String,
    public val repeatable: Boolean,
    public val expectedMillis: Double,
)

/** One request at an endpoint of a service whose traffic moves to another release. */
public class ReleaseObservation internal constructor(
    private val tally: ReleaseTally,
    private val endpoint: EndpointId,
    private val ofTarget: Boolean,
    private val request: ObservedRequest,
    private val sentMillis: Long,
    private val isWarm: Boolean,
) {
    private var open = true

    internal constructor(
        progress: ReleaseProgress,
        endpoint: EndpointState,
        request: ObservedRequest,
        nowMillis: Long,
    ) : this(
        tally = progress.tally,
        endpoint = endpoint.entry.id,
        ofTarget = endpoint.entry.release == progress.order.target,
        request = request,
        sentMillis = nowMillis,
        isWarm = !endpoint.isCold(nowMillis) && nowMillis - endpoint.firstSeenMillis >= WARM_MILLIS,
    )

    init {
        tally.sent(ofTarget, request.repeatable, sentMillis)
    }

    /**
     * Counts the [result] of the request at [nowMillis]; [extraMillis] were expected beside its expected time. One that
     * was given up counts only if it had taken long. Returns whether it counts as bad, or null if it is not counted.
     */
    public fun recordResult(result: ObservedResult, extraMillis: Double, nowMillis: Long): Boolean? {
        val timeClass = AnswerCounts.timeClass(nowMillis - sentMillis, request.expectedMillis + extraMillis)
            .takeIf { isWarm }
        val counts = when (result) {
            ObservedResult.ANSWERED -> AnswerCounts.of(failed = false, timeClass)
            ObservedResult.FAILED -> AnswerCounts.of(failed = true, timeClass)
            ObservedResult.GIVEN_UP -> AnswerCounts.of(failed = false, timeClass).takeIf { it.badCount > 0 }
            ObservedResult.NOT_RUN -> null
        }
        counts?.let { tally.count(endpoint, ofTarget, request.route, it) }
        return counts?.let { it.badCount > 0 }
    }

    /** Records that the request is no longer at the endpoint; later calls have no effect. */
    public fun ended() {
        if (open) tally.ended(ofTarget, request.repeatable)
        open = false
    }

    private companion object {
        // Endpoints that have just started are slow for some seconds.
        const val WARM_MILLIS = 3_000L
    }
}
