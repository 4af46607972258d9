package org.parsleymoor.relay.placement

import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.RegionId
import org.parsleymoor.core.ZoneId
import org.parsleymoor.relay.entry
import org.parsleymoor.relay.fleet.EndpointLimits
import org.parsleymoor.relay.fleet.EndpointState
import org.parsleymoor.relay.fleet.EndpointTable
import org.parsleymoor.relay.fleet.replaceAll
import java.util.PriorityQueue
import kotlin.random.Random

/**
 * [count] instances in three zones with callers in all of them, before a service with one endpoint in each zone, on a
 * clock of its own. The instances place requests by their own views, and tell each other limits and demands.
 */
internal class LimitedService(count: Int) {
    private val random = Random(count)
    private val events = PriorityQueue<Event>(compareBy<Event> { it.atMillis }.thenBy { it.number })
    private val perInstance = REQUESTS_PER_SECOND / count
    private var eventCount = 0
    private val members = (1..count).map { InstanceId("i$it") }
    private val instances = members.mapIndexed { index, id -> Instance(id, ZONES[index % ZONES.size]) }
    private val limits = HashMap<EndpointId, Double>()
    val endpoints = ZONES.map { EndpointId("endpoint-$it") }

    /** When requests arrived at each endpoint. */
    val arrivals = endpoints.associateWith { ArrayList<Long>() }
    var nowMillis = 0L
        private set

    /** Lets [endpoint] name [perSecond] in all its answers from now on, or none if it is null. */
    fun nameLimit(endpoint: EndpointId, perSecond: Double?) {
        if (perSecond == null) limits -= endpoint else limits[endpoint] = perSecond
    }

    /** The requests that [endpoint] got in the last [millis]. */
    fun arrived(endpoint: EndpointId, millis: Long): Int =
        arrivals.getValue(endpoint).count { it > nowMillis - millis }

    /** The limits of [endpoint] that the instances know of. */
    fun knownLimits(endpoint: EndpointId): Set<Double?> = instances.map { it.knownLimit(endpoint) }.toSet()

    /** Plays the next [millis]. */
    fun run(millis: Long) {
        val untilMillis = nowMillis + millis
        while (nowMillis < untilMillis) {
            nowMillis += STEP_MILLIS
            while ((events.peek()?.atMillis ?: Long.MAX_VALUE) <= nowMillis) events.remove().run()
            instances.forEach { it.step() }
        }
    }

    private fun after(millis: Long, run: () -> Unit) {
        events += Event(nowMillis + millis, eventCount++, run)
    }

    private class Event(val atMillis: Long, val number: Int, val run: () -> Unit)

    private inner class Instance(id: InstanceId, zone: String) {
        private val placement = ServicePlacement(Topology(ZoneId(zone), REGIONS))
        private val table = EndpointTable(EndpointLimits(id)).also { table ->
            table.replaceAll(ZONES.map { entry("endpoint-$it", it) }, 0)
            table.limits.members = members.toSet()
        }
        private val offsetMillis = random.nextLong(REPEAT_MILLIS / STEP_MILLIS) * STEP_MILLIS

        fun knownLimit(endpoint: EndpointId): Double? =
            table.limits.named.perSecond(checkNotNull(table[endpoint]).incarnation)

        fun step() {
            if (nowMillis % REFRESH_MILLIS == 0L) table.limits.refresh(table.all, nowMillis)
            if ((nowMillis + offsetMillis) % REPEAT_MILLIS == 0L) repeat()
            if (random.nextDouble() < perInstance * STEP_MILLIS / MILLIS_PER_SECOND) serve()
        }

        private fun repeat() {
            val repeated = table.limits.named.toRepeat(nowMillis)
            tellOthers { other -> repeated.forEach { other.table.limits.named.learn(it, nowMillis) } }
            if (!table.limits.named.isEmpty) announceDemand()
        }

        private fun announceDemand() {
            val demand = table.limits.demands.measure(SERVICE, nowMillis)
            tellOthers { it.table.limits.demands.learn(demand, nowMillis) }
        }

        private fun tellOthers(tell: (Instance) -> Unit) =
            after(NEWS_MILLIS) { instances.forEach { if (it !== this) tell(it) } }

        private fun serve() {
            if (table.limits.demands.recordRequest(SERVICE, nowMillis)) announceDemand()
            val query = PlacementQuery(
                service = SERVICE,
                allowedRegions = emptyList(),
                remainingMillis = 1_000,
                objectiveMillis = 300,
                urgency = 1,
            )
            val state = (placement.choose(query, table, nowMillis) as? PlacementResult.Selected)?.endpoint ?: return
            if (!table.limits.tryTake(state, nowMillis)) return
            val sentMillis = nowMillis
            arrivals.getValue(state.entry.id) += sentMillis
            state.requestStarted(0)
            after(RUN_MILLIS) { answered(state, sentMillis, limits[state.entry.id]) }
        }

        private fun answered(state: EndpointState, sentMillis: Long, perSecond: Double?) {
            state.requestEnded()
            val named = table.limits.named
            val news = if (perSecond == null) {
                named.notNamed(state.incarnation, sentMillis, nowMillis)
            } else {
                named.named(state.incarnation, perSecond, nowMillis)
            }
            if (news != null) tellOthers { it.table.limits.named.learn(news, nowMillis) }
            if (news != null) announceDemand()
        }
    }

    private companion object {
        val ZONES = listOf("a", "b", "c")
        val REGIONS = mapOf(
            ZoneId("a") to RegionId("north"),
            ZoneId("b") to RegionId("north"),
            ZoneId("c") to RegionId("south"),
        )
        const val SERVICE = "engines"
        const val REQUESTS_PER_SECOND = 250.0
        const val STEP_MILLIS = 10L
        const val REFRESH_MILLIS = 100L
        const val REPEAT_MILLIS = 1_000L
        const val RUN_MILLIS = 20L

        // Two hubs at the most, each of which sends every 100 ms.
        const val NEWS_MILLIS = 200L
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
