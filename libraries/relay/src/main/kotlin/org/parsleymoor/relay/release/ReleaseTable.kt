package org.parsleymoor.relay.release

import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.rendezvousOrder
import org.parsleymoor.relay.fleet.EndpointState
import org.parsleymoor.relay.fleet.EndpointTable

/**
 * The orders to move the traffic of services to other releases, as [self] knows and follows them. Every instance
 * compares the releases by the reports of all, and any of them may find that the target is worse, after which none
 * sends it anything more; only the lease holder moves traffic towards it. Without a [limit] releases are not told
 * apart. Not thread-safe.
 */
public class ReleaseTable(private val self: InstanceId, public val limit: ExposureLimit? = null) {
    private val byName = HashMap<String, ServiceRelease>()
    private var confirmedMillis: Long? = null
    private var previouslyConfirmedMillis: Long? = null

    /** Called when an order ends, with how it ended. */
    public var onEnd: (ReleaseOrder, ReleaseEnd) -> Unit = { _, _ -> }

    private var isListed = false

    /** Whether the orders are known, if there may be any. */
    public val isKnown: Boolean get() = limit == null || isListed

    /** The services for which an order is stored. */
    public val ordered: Set<String> get() = byName.filterValues { it.stored != null }.keys

    /** Whether an order has not ended, or its end has not been stored. */
    public val hasOpenOrders: Boolean get() = byName.values.any { it.isOpen }

    /** How long after a report the next one is due: soon while traffic moves, which may do harm quickly. */
    public val reportMillis: Long
        get() = if (open.any { it.progress?.isMoving == true }) MOVING_REPORT_MILLIS else REPORT_MILLIS

    /** Running instances, or null before they are known. */
    public var members: Set<InstanceId>? = null
        set(value) {
            if (field != value && value != null) {
                val ranked = rendezvousOrder("releases", value + self) { it.value }
                place = ExposureCredit.Place(ranked.indexOf(self), ranked.size)
            }
            field = value
        }

    internal var place: ExposureCredit.Place? = null
        private set
    internal val services: Map<String, ServiceRelease> get() = byName
    internal val open: List<ServiceRelease> get() = byName.values.filter { it.isOpen }

    /** Records that all orders have been read, from the store or a peer. */
    public fun markListed() {
        isListed = true
    }

    /** Records that the orders were confirmed to be current. */
    public fun markCurrent(nowMillis: Long) {
        previouslyConfirmedMillis = confirmedMillis
        confirmedMillis = nowMillis
    }

    /** Takes over the order for a service that is stored at [revision]. */
    public fun put(stored: StoredRelease, revision: Long, nowMillis: Long) {
        if (limit == null) return
        val service = byName.getOrPut(stored.order.service) { ServiceRelease() }
        val known = service.progress?.takeIf { it.order == stored.order }
        // Objects have no timestamps: the order was given no earlier than the store last responded without it. After an
        // outage that would make it too old for all instances, as they take the earliest time that any of them states.
        val before = previouslyConfirmedMillis
        val givenMillis = before?.coerceAtLeast(nowMillis - MAX_UNCONFIRMED_MILLIS) ?: nowMillis
        val progress = known ?: ReleaseProgress(stored.order, limit, givenMillis, isFromStart = before != null)
        if (known == null) service.replace(progress)
        service.stored = stored
        service.revision = revision
        stored.state?.takeIf { it != ReleaseState.ACTIVE }?.let { end(progress, ReleaseEnd(it, STORED), nowMillis) }
    }

    /** Records that there is no order for [service] any more. */
    public fun remove(service: String) {
        byName[service]?.replace(null)
        byName[service]?.stored = null
    }

    /** Takes over [step], which the lease holder announced. */
    public fun learn(step: ReleaseStep, nowMillis: Long) {
        progressOf(step.order)?.learn(step, isFromHolder = true, nowMillis)
    }

    /** Takes over the [report] of an instance. */
    public fun learn(report: ReleaseReport, nowMillis: Long) {
        val progress = progressOf(report.order) ?: return
        progress.learn(report, nowMillis)
        report.end?.let { end(progress, it, nowMillis) }
    }

    /** Updates which of the [endpoints] take requests, and compares the releases. */
    public fun update(endpoints: EndpointTable, nowMillis: Long) {
        if (limit == null) return
        endpoints.all.groupBy { it.entry.service }.forEach { (name, listed) ->
            val service = byName.getOrPut(name) { ServiceRelease() }
            if (isListed) service.admit(listed, confirmedMillis, nowMillis)
            service.progress?.update(endpoints.serving(name), nowMillis)
        }
        byName.values.mapNotNull { it.progress }.filter { it.end == null }.forEach { progress ->
            progress.worse()?.let { end(progress, ReleaseEnd(ReleaseState.ROLLED_BACK, it), nowMillis) }
        }
    }

    /** Returns what this instance reports on the open orders, and takes it into account. */
    public fun reports(endpoints: EndpointTable, nowMillis: Long): List<ReleaseReport> =
        open.mapNotNull { it.progress }.map { progress ->
            val inFlight = endpoints.all
                .filter { it.entry.service == progress.order.service && it.entry.release != progress.order.target }
                .sumOf { it.inFlight }
            progress.report(self, inFlight, nowMillis).also { progress.learn(it, nowMillis) }
        }

    /** Records that the order of [progress] ended, unless that is known. */
    internal fun end(progress: ReleaseProgress, end: ReleaseEnd, nowMillis: Long) {
        if (!progress.end(end)) return
        if (end.state == ReleaseState.COMPLETED) {
            byName[progress.order.service]?.complete(progress.order.target, nowMillis)
        }
        onEnd(progress.order, end)
    }

    private fun progressOf(order: ReleaseOrder): ReleaseProgress? =
        byName[order.service]?.progress?.takeIf { it.order == order }

    private companion object {
        const val REPORT_MILLIS = 1_000L
        const val MOVING_REPORT_MILLIS = 400L

        // The store confirms what it holds every few seconds while it responds.
        const val MAX_UNCONFIRMED_MILLIS = 3_000L
        const val STORED = "the stored status says so"
    }
}

/** Decides for a new request for [service] whether it goes to the target of an order. */
public fun ReleaseTable.takesTarget(service: String, nowMillis: Long): Boolean =
    services[service]?.progress?.takesTarget(place, nowMillis) ?: false

/**
 * Returns which endpoints of [service] a request may go to, in the order in which they are tried; [toTarget] is what
 * [takesTarget] decided for it.
 */
public fun ReleaseTable.choices(
    service: String,
    toTarget: Boolean,
    nowMillis: Long,
): List<(EndpointState) -> Boolean> =
    services[service]?.choices(toTarget, nowMillis) ?: listOf(ServiceRelease.ALL)

/** Returns the observation of a request that is sent to [endpoint], or null without an open order for its service. */
public fun ReleaseTable.observe(
    endpoint: EndpointState,
    request: ObservedRequest,
    nowMillis: Long,
): ReleaseObservation? = services[endpoint.entry.service]?.takeIf { it.isOpen }?.progress
    ?.let { ReleaseObservation(it, endpoint, request, nowMillis) }
