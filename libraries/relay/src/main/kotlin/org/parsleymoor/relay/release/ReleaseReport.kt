package org.parsleymoor.relay.release

import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.InstanceId

/** Answers on one [route]: of the target release, or of the others when [ofTarget] is false. */
public data class RouteAnswers(
    public val route: String,
    public val ofTarget: Boolean,
    public val counts: AnswerCounts,
)

/** Answers of one [endpoint] of the target release on one [route]; reported for endpoints with bad answers. */
public data class EndpointAnswers(
    public val endpoint: EndpointId,
    public val route: String,
    public val counts: AnswerCounts,
)

/** The requests of an instance for one service: those now at endpoints of other releases, and those just sent. */
public data class ReleaseFlow(
    public val atOthers: Int = 0,
    /** How many of [atOthers] must not run twice. */
    public val unrepeatable: Int = 0,
    /** Requests sent to other releases in the last second. */
    public val sentToOthers: Int = 0,
    /** Requests sent to the target in the last second. */
    public val sentToTarget: Int = 0,
) {
    public operator fun plus(other: ReleaseFlow): ReleaseFlow = ReleaseFlow(
        atOthers + other.atOthers,
        unrepeatable + other.unrepeatable,
        sentToOthers + other.sentToOthers,
        sentToTarget + other.sentToTarget,
    )
}

/** How an order ended: [state], and the [reason] for operators. */
public data class ReleaseEnd(public val state: ReleaseState, public val reason: String)

/**
 * What the instance [origin] has seen and done for [order], which is [orderAgeMillis] old. [applied] is the newest step
 * that it knows, since [appliedMillis] milliseconds. [end] is how the order has ended as far as it knows, or null.
 */
public data class ReleaseReport(
    public val origin: InstanceId,
    public val order: ReleaseOrder,
    public val orderAgeMillis: Long,
    public val applied: ReleaseStep?,
    public val appliedMillis: Long,
    public val flow: ReleaseFlow,
    public val routes: List<RouteAnswers> = emptyList(),
    public val endpoints: List<EndpointAnswers> = emptyList(),
    public val end: ReleaseEnd? = null,
)
