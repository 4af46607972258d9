package org.parsleymoor.relay.fleet

import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.parsleymoor.core.EndpointId
import org.parsleymoor.relay.MODEL
import org.parsleymoor.relay.TOPOLOGY
import org.parsleymoor.relay.cache.EngineIncarnation
import org.parsleymoor.relay.entry
import org.parsleymoor.relay.placement.EnginePlacement
import org.parsleymoor.relay.placement.EnginePlacementQuery
import org.parsleymoor.relay.placement.PlacementResult
import org.parsleymoor.relay.placement.ServicePlacement
import org.parsleymoor.relay.placement.TargetWeights
import org.parsleymoor.relay.placement.UnavailableReason
import org.parsleymoor.relay.placementQuery
import org.parsleymoor.relay.prompt
import org.parsleymoor.relay.rollout.RolloutPlan
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isIn
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue
import kotlin.random.Random

/** When endpoints that asked for a pause get requests again, and what that means for the choice of endpoints. */
class EndpointPausesTest {
    private val one = EngineIncarnation(EndpointId("one"), startMillis = 1)
    private val pauses = EndpointPauses(Random(1))
    private val table = EndpointTable().also { it.replaceAll(listOf(entry("one"), entry("two")), 0) }

    // The pauses of all instances begin together when a release refuses them together. Without the spread all send at
    // the same time: 9 and 95 in the first 100 ms.
    @ParameterizedTest
    @CsvSource("9, 5", "95, 30")
    fun `the first requests of all instances after pauses that began together are spread`(instances: Int, most: Int) {
        val arrivals = (1..instances).flatMap {
            arrivals(
                EndpointPauses(Random(it)),
                PAUSE_MILLIS,
                untilMillis = 2_600
            )
        }
        expectThat(arrivals).hasSize(instances).all { isIn(PAUSE_MILLIS..PAUSE_MILLIS * 5 / 4) }
        expectThat(arrivals.maxOf { from -> arrivals.count { it in from until from + 100 } }).isLessThanOrEqualTo(most)
    }

    // An instance with many waiting requests would send them all before the first is refused.
    @Test
    fun `an endpoint that goes on refusing gets one request of an instance after each pause`() {
        val times = arrivals(pauses, PAUSE_MILLIS, untilMillis = 20_000)
        expectThat(times.size).isIn(7..10)
        expectThat(times.zipWithNext { earlier, later -> later - earlier }).all { isGreaterThanOrEqualTo(PAUSE_MILLIS) }
    }

    @Test
    fun `an endpoint that has answered the first request gets all`() {
        pauses.begin(one, 1_000, 0)
        expectThat(pauses.answered(one, 500)).isFalse()
        pauses.requestSent(one, 1_300)
        expectThat(pauses.remainingMillis(one, 1_310)).isEqualTo(240)
        expectThat(pauses.answered(one, 1_320)).isTrue()
        expectThat(pauses.remainingMillis(one, 1_320)).isNull()
    }

    // A request may run for long before it is answered.
    @Test
    fun `an endpoint that has not refused the first request for a while gets all`() {
        pauses.begin(one, 1_000, 0)
        pauses.requestSent(one, 1_300)
        expectThat(pauses.remainingMillis(one, 1_549)).isNotNull()
        expectThat(pauses.remainingMillis(one, 1_550)).isNull()
    }

    // The responses to requests that were sent before arrive in any order.
    @Test
    fun `a shorter pause does not end a longer one`() {
        pauses.begin(one, 3_000, 0)
        pauses.begin(one, 100, 50)
        expectThat(pauses.remainingMillis(one, 2_999)).isNotNull()
    }

    @Test
    fun `a pause holds for one start of the endpoint`() {
        pauses.begin(one, 5_000, 0)
        expectThat(pauses.remainingMillis(one.copy(startMillis = 2), 10)).isNull()
        expectThat(pauses.remainingMillis(one, 10)).isNotNull()
        pauses.begin(one.copy(startMillis = 2), 100, 10)
        expectThat(pauses.remainingMillis(one.copy(startMillis = 2), 200)).isNull()
    }

    @Test
    fun `a pause that has been over for a while is forgotten`() {
        pauses.begin(one, 1_000, 0)
        expectThat(pauses.expire(10_999)).isEmpty()
        expectThat(pauses.expire(11_250)).containsExactly(one)
        expectThat(pauses.expire(99_999)).isEmpty()
    }

    @Test
    fun `endpoints that are not paused are chosen, whatever their load`() {
        table.pauses.begin(one, 1_000, 0)
        repeat(10) { table[EndpointId("two")]!!.requestStarted(500) }
        repeat(20) {
            expectThat(choose(10)).isA<PlacementResult.Selected>().get { endpoint.entry.id.value }.isEqualTo("two")
        }
        val service = ServicePlacement(TOPOLOGY).choose(placementQuery(), table, 10)
        expectThat(service).isA<PlacementResult.Selected>().get { endpoint.entry.id.value }.isEqualTo("two")
    }

    // Also those that have refused the request just now.
    @Test
    fun `while all endpoints are paused, requests are refused with the shortest remaining time`() {
        table.pauses.begin(one, 4_000, 0)
        table.pauses.begin(EngineIncarnation(EndpointId("two"), startMillis = 1), 1_000, 0)
        val query = placementQuery().copy(tried = setOf(EndpointId("one"), EndpointId("two")))
        listOf(choose(200), ServicePlacement(TOPOLOGY).choose(query, table, 200)).forEach { result ->
            expectThat(result).isA<PlacementResult.Unavailable>().and {
                get { reason }.isEqualTo(UnavailableReason.PAUSED)
                get { retryAfterMillis }.isIn(800L..1_050L)
            }
        }
    }

    @Test
    fun `a pause is not a failure, and is no order`() {
        table.pauses.begin(one, 1_000, 0)
        expectThat(table[one.endpoint]!!.health.isEjected(10)).isFalse()
        expectThat(table[one.endpoint]!!.health.recentFailures).isEqualTo(0.0)
        val targets = mapOf(MODEL to TargetWeights(MODEL, version = 2, sinceMillis = 0))
        val plan = RolloutPlan(takeoverMillis = 1_000)
        expectThat(plan.enginesToLoad(table, targets, 10).map { it.endpoint.entry.id.value }).containsExactly("two")
        expectThat(plan.enginesToLoad(table, targets, 1_300)).hasSize(2)
    }

    private fun choose(nowMillis: Long): PlacementResult {
        val query = EnginePlacementQuery(placementQuery(), prompt("s"), targetWeights = null, instances = 9, { null })
        return EnginePlacement(TOPOLOGY, random = Random(1)).choose(query, table, nowMillis).result
    }

    /** Returns when an instance with requests at any time sends them to an endpoint that refuses each 20 ms later. */
    private fun arrivals(pauses: EndpointPauses, pauseMillis: Long, untilMillis: Long): List<Long> {
        val arrivals = ArrayList<Long>()
        pauses.begin(one, pauseMillis, 0)
        for (nowMillis in 1..untilMillis) {
            if (arrivals.lastOrNull() == nowMillis - RESPONSE_MILLIS) pauses.begin(one, pauseMillis, nowMillis)
            if (pauses.remainingMillis(one, nowMillis) == null) {
                pauses.requestSent(one, nowMillis)
                arrivals += nowMillis
            }
        }
        return arrivals
    }

    private companion object {
        const val PAUSE_MILLIS = 2_000L
        const val RESPONSE_MILLIS = 20L
    }
}
