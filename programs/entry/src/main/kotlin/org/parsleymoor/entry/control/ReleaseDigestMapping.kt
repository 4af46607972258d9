package org.parsleymoor.entry.control

import org.parsleymoor.peering.ReleaseAnswersDigest
import org.parsleymoor.peering.ReleaseOrderDigest
import org.parsleymoor.peering.ReleaseReportDigest
import org.parsleymoor.peering.ReleaseStepDigest
import org.parsleymoor.relay.release.AnswerCounts
import org.parsleymoor.relay.release.EndpointAnswers
import org.parsleymoor.relay.release.ReleaseEnd
import org.parsleymoor.relay.release.ReleaseFlow
import org.parsleymoor.relay.release.ReleaseOrder
import org.parsleymoor.relay.release.ReleaseReport
import org.parsleymoor.relay.release.ReleaseStage
import org.parsleymoor.relay.release.ReleaseState
import org.parsleymoor.relay.release.ReleaseStep
import org.parsleymoor.relay.release.RouteAnswers

internal fun ReleaseStep.toDigest(): ReleaseStepDigest =
    ReleaseStepDigest(order.toDigest(), token, sequence, stage.name, share)

/** Decodes a step; returns null if an instance of another build names a stage that is not known here. */
internal fun ReleaseStepDigest.toStep(): ReleaseStep? = ReleaseStage.entries.firstOrNull { it.name == stage }
    ?.let { ReleaseStep(order.toOrder(), token, sequence, it, share) }

internal fun ReleaseReport.toDigest(): ReleaseReportDigest = ReleaseReportDigest(
    origin = origin,
    order = order.toDigest(),
    orderAgeMillis = orderAgeMillis,
    applied = applied?.toDigest(),
    appliedMillis = appliedMillis,
    flow = listOf(flow.atOthers, flow.unrepeatable, flow.sentToOthers, flow.sentToTarget),
    answers = routes.map { it.toDigest() } + endpoints.map { it.toDigest() },
    end = end?.state?.name,
    reason = end?.reason,
)

internal fun ReleaseReportDigest.toReport(): ReleaseReport = ReleaseReport(
    origin = origin,
    order = order.toOrder(),
    orderAgeMillis = orderAgeMillis,
    applied = applied?.toStep(),
    appliedMillis = appliedMillis,
    flow = flow.toFlow(),
    routes = answers.filter { it.endpoint == null }.map { RouteAnswers(it.route, it.ofTarget, it.toCounts()) },
    endpoints = answers.mapNotNull { digest ->
        digest.endpoint?.let { EndpointAnswers(it, digest.route, digest.toCounts()) }
    },
    end = ReleaseState.entries.firstOrNull { it.name == end }?.let { ReleaseEnd(it, reason.orEmpty()) },
)

private fun List<Int>.toFlow(): ReleaseFlow {
    val counts = iterator()
    val next = { if (counts.hasNext()) counts.next() else 0 }
    return ReleaseFlow(atOthers = next(), unrepeatable = next(), sentToOthers = next(), sentToTarget = next())
}

private fun ReleaseOrder.toDigest() = ReleaseOrderDigest(service, target, durationMillis, created)

private fun ReleaseOrderDigest.toOrder() = ReleaseOrder(service, target, durationMillis, created)

private fun RouteAnswers.toDigest() =
    ReleaseAnswersDigest(route, ofTarget, endpoint = null, counts.answered, counts.failed, counts.times)

private fun EndpointAnswers.toDigest() =
    ReleaseAnswersDigest(route, ofTarget = true, endpoint, counts.answered, counts.failed, counts.times)

private fun ReleaseAnswersDigest.toCounts() = AnswerCounts(answered, failed, times)
