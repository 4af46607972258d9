package org.parsleymoor.entry

import org.parsleymoor.core.ZoneId
import org.parsleymoor.entry.callers.CloseReason
import org.parsleymoor.relay.http.MessageFailure
import org.parsleymoor.relay.release.ReleaseState
import java.util.concurrent.atomic.AtomicLong

/** A monotonically increasing counter. */
public class Counter {
    private val value = AtomicLong()

    public fun increment() {
        value.incrementAndGet()
    }

    public val count: Long get() = value.get()
}

/** A latency histogram whose buckets have the upper bounds [BOUNDS_MILLIS]. */
public class LatencyHistogram {
    private val buckets = List(BOUNDS_MILLIS.size + 1) { AtomicLong() }
    private val sum = AtomicLong()

    /** Records one latency. */
    public fun record(millis: Long) {
        val index = BOUNDS_MILLIS.indexOfFirst { millis <= it }
        buckets[if (index < 0) BOUNDS_MILLIS.size else index].incrementAndGet()
        sum.addAndGet(millis)
    }

    /** Returns the histogram in the Prometheus text format, under [name]. */
    public fun prometheusText(name: String): String {
        var total = 0L
        val lines = BOUNDS_MILLIS.mapIndexed { index, bound ->
            total += buckets[index].get()
            "${name}_bucket{le=\"$bound\"} $total"
        }
        val count = total + buckets.last().get()
        return (lines + "${name}_bucket{le=\"+Inf\"} $count" + "${name}_sum ${sum.get()}" + "${name}_count $count")
            .joinToString("\n")
    }

    private companion object {
        val BOUNDS_MILLIS = listOf(10L, 25L, 50L, 100L, 250L, 500L, 1_000L, 2_500L, 5_000L, 10_000L)
    }
}

/** How far a response has come: nothing has arrived, its head has, or events of a stream have. */
public enum class ResponseStage { WAITING, RESPONDING, STREAMING }

/** Counters of what outages of the discovery list bring about. */
public class EndpointListMetrics {
    /** Outages in which entries may have expired. */
    public val outages: Counter = Counter()

    /** Removals of entries that were not followed at once, because the entry may have expired in an outage. */
    public val kept: Counter = Counter()
}

/** The number of instances with which an entry daemon divides shared limits. */
public class InstancePartGauge {
    @Volatile
    private var current: Pair<String, Int>? = null

    /** Sets that [part] of shared limits is divided among [instances], which a peer named if [fromPeer]. */
    public fun set(part: String, instances: Int, fromPeer: Boolean) {
        current = "part=\"$part\",source=\"${if (fromPeer) "peer" else "store"}\"" to instances
    }

    /** Returns the gauge in the Prometheus text format, under [name]; no lines before it is set. */
    public fun prometheusLines(name: String): List<String> =
        listOfNotNull(current).map { (labels, instances) -> "$name{$labels} $instances" }
}

/** Counters and histograms of one entry daemon. */
public class EntryMetrics {
    public val requests: Counter = Counter()
    public val attempts: Counter = Counter()
    public val partsQuarantined: Counter = Counter()
    public val requestsQuarantined: Counter = Counter()
    public val scopeChanges: Counter = Counter()
    public val rejectedResponses: ReasonCounter<RejectionReason> = ReasonCounter(RejectionReason.entries)
    public val storeRestores: Counter = Counter()
    public val storeFailedCalls: Counter = Counter()
    public val endpointList: EndpointListMetrics = EndpointListMetrics()
    public val endpointPauses: Counter = Counter()
    public val endpointLimits: Counter = Counter()
    public val endpointSpeeds: Counter = Counter()
    public val latency: LatencyHistogram = LatencyHistogram()
    private val refusals = sortedMapOf<Int, Counter>()

    /** Counts a request that this daemon refused with [status]. */
    public fun recordRefusal(status: Int) {
        synchronized(refusals) { refusals.getOrPut(status) { Counter() } }.increment()
    }

    private val cutOffs = ResponseStage.entries.associateWith { Counter() }

    /** Counts a response that was cut off at [stage] by the end of its connection. */
    public fun recordCutOff(stage: ResponseStage) {
        cutOffs.getValue(stage).increment()
    }

    private val oversized =
        ReasonCounter(listOf(MessageFailure.BODY_TOO_LARGE, MessageFailure.NO_ROOM, MessageFailure.WITHOUT_EVENTS))

    /** Counts a response that was given up because it is too large, as [fault] says. */
    public fun recordOversized(fault: MessageFailure) {
        oversized.increment(fault)
    }

    private val closures = ReasonCounter(CloseReason.entries)

    /** Counts a connection of a caller that was closed for [reason]. */
    public fun recordClosure(reason: CloseReason) {
        closures.increment(reason)
    }

    private val loopFailures = sortedMapOf<String, Counter>()

    /** Counts a failure of the control loop [name], which is started again. */
    public fun recordLoopFailure(name: String) {
        synchronized(loopFailures) { loopFailures.getOrPut(name) { Counter() } }.increment()
    }

    private val zones = HashMap<ZoneId, Counter>()

    /** Counts a prompt that this instance sent to an engine in [zone]. */
    public fun recordSentTo(zone: ZoneId) {
        synchronized(zones) { zones.getOrPut(zone) { Counter() } }.increment()
    }

    private val releaseAnswers = sortedMapOf<String, Counter>()

    /** Counts an answer of [release] of [service] while its traffic moves to another release. */
    public fun recordReleaseAnswer(service: String, release: String, bad: Boolean) {
        val labels = "service=\"$service\",release=\"$release\",result=\"${if (bad) "bad" else "good"}\""
        synchronized(releaseAnswers) { releaseAnswers.getOrPut(labels) { Counter() } }.increment()
    }

    private val releaseEnds = ReleaseState.entries.associateWith { Counter() }

    /** Counts an order to move traffic to a release that ended with [state]. */
    public fun recordReleaseEnd(state: ReleaseState) {
        releaseEnds.getValue(state).increment()
    }

    public val instancePart: InstancePartGauge = InstancePartGauge()
    private val leaving = listOf(true, false).associateWith { Counter() }

    /** Counts an endpoint that this daemon learned is leaving, [fromPeer] or from a response. */
    public fun recordLeaving(fromPeer: Boolean) {
        leaving.getValue(fromPeer).increment()
    }

    /** Returns all metrics in the Prometheus text format. */
    public fun prometheusText(): String {
        val refused = synchronized(refusals) {
            refusals.map { (status, counter) -> "parsleymoor_refusals_total{status=\"$status\"} ${counter.count}" }
        }
        val lines = listOf(
            "parsleymoor_requests_total ${requests.count}",
            "parsleymoor_attempts_total ${attempts.count}",
            "parsleymoor_prompt_parts_quarantined_total ${partsQuarantined.count}",
            "parsleymoor_requests_quarantined_total ${requestsQuarantined.count}",
            "parsleymoor_request_scope_changes_total ${scopeChanges.count}",
            "parsleymoor_store_restores_total ${storeRestores.count}",
            "parsleymoor_store_failed_calls_total ${storeFailedCalls.count}",
            "parsleymoor_endpoint_list_outages_total ${endpointList.outages.count}",
            "parsleymoor_endpoints_kept_total ${endpointList.kept.count}",
            "parsleymoor_endpoint_pauses_total ${endpointPauses.count}",
            "parsleymoor_endpoint_limits_total ${endpointLimits.count}",
            "parsleymoor_endpoint_speeds_unusual_total ${endpointSpeeds.count}",
        )
        val cutOff = cutOffs.map { (stage, counter) ->
            "parsleymoor_responses_cut_off_total{stage=\"${stage.name.lowercase()}\"} ${counter.count}"
        }
        val tooLarge = oversized.prometheusLines("parsleymoor_responses_oversized_total")
        val rejected = rejectedResponses.prometheusLines("parsleymoor_control_responses_rejected_total")
        val closed = closures.prometheusLines("parsleymoor_caller_connections_closed_total")
        val failed = synchronized(loopFailures) {
            loopFailures.map { (name, counter) -> "parsleymoor_loop_failures_total{loop=\"$name\"} ${counter.count}" }
        }
        val left = leaving.map { (fromPeer, counter) ->
            "parsleymoor_endpoints_leaving_total{source=\"${if (fromPeer) "peer" else "response"}\"} ${counter.count}"
        }
        val sentTo = synchronized(zones) {
            zones.map { (zone, counter) -> "parsleymoor_prompts_sent_total{zone=\"${zone.value}\"} ${counter.count}" }
        }
        val answered = synchronized(releaseAnswers) {
            releaseAnswers.map { (labels, counter) -> "parsleymoor_release_answers_total{$labels} ${counter.count}" }
        }
        val ended = releaseEnds.filterKeys { it != ReleaseState.ACTIVE }.map { (state, counter) ->
            "parsleymoor_releases_ended_total{state=\"${state.name.lowercase()}\"} ${counter.count}"
        }
        val durations = latency.prometheusText("parsleymoor_request_duration_milliseconds")
        val responses = cutOff + tooLarge + rejected
        val sharing = instancePart.prometheusLines("parsleymoor_sharing_instances")
        val counted = lines + sharing + refused + responses + closed + failed + left + sentTo + answered + ended
        return (counted + durations).joinToString("\n") + "\n"
    }
}
