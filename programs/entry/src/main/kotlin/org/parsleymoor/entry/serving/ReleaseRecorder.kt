package org.parsleymoor.entry.serving

import org.parsleymoor.relay.release.ObservedRequest
import org.parsleymoor.relay.release.ObservedResult
import org.parsleymoor.relay.release.ReleaseObservation
import org.parsleymoor.relay.release.observe

/** Records how attempts at endpoints end while the traffic of their service moves to another release. */
internal class ReleaseRecorder(context: ServingContext) {
    private val releases = context.deployment.releases
    private val metrics = context.metrics
    private val clock = context.clock

    /** Returns the observation of the attempt of [pending] at [target], or null if no traffic moves. */
    fun observe(pending: PendingRequest, target: Target): ReleaseObservation? {
        // At the usual speed: that a release was found to be slow must not be taken for what is expected of it.
        val expectedMillis = target.place.run { distanceMillis + (estimateMillis - distanceMillis) / workFactor }
        val request = ObservedRequest(pending.route.name, pending.route.repeatable, expectedMillis)
        return releases.observe(target.endpoint, request, clock.nowMillis())
    }

    /**
     * Records the [result] of the attempt of [observation], or that it was given up if that is null. The endpoint had
     * nothing more to do at [doneMillis]; how long its caller reads is not its time.
     */
    fun record(
        observation: ReleaseObservation?,
        target: Target,
        progress: AttemptProgress,
        result: AttemptResult?,
        doneMillis: Long?,
    ) {
        if (observation == null) return
        val observed = when (result) {
            is AttemptResult.Delivered -> ObservedResult.ANSWERED
            is AttemptResult.Failed -> ObservedResult.FAILED
            is AttemptResult.Uncertain -> if (progress.sent) ObservedResult.FAILED else ObservedResult.NOT_RUN
            is AttemptResult.NotRun -> ObservedResult.NOT_RUN
            null -> when {
                progress.complete -> ObservedResult.ANSWERED
                progress.sent -> ObservedResult.GIVEN_UP
                else -> ObservedResult.NOT_RUN
            }
        }
        val bad = observation.recordResult(observed, progress.events * EVENT_MILLIS, doneMillis ?: clock.nowMillis())
            ?: return
        val entry = target.endpoint.entry
        metrics.recordReleaseAnswer(entry.service, entry.release.orEmpty(), bad)
    }

    private companion object {
        // Expected time of each event of a stream. It cancels out, since only the two releases are compared.
        const val EVENT_MILLIS = 20.0
    }
}
