package org.parsleymoor.relay.placement

import org.junit.jupiter.api.Test
import org.parsleymoor.core.EndpointId
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo

/** Guards against an endpoint that gets nothing any more after it has named a limit, while others are free. */
class LimitEndTest {
    // The permissions lie at a few instances, to whose callers another endpoint may be nearer.
    @Test
    fun `the end of a limit is known everywhere within 5 s, and the endpoint has its requests within 10 s`() =
        forEachEndpoint { service, endpoint ->
            val before = service.arrived(endpoint, WINDOW_MILLIS)
            service.nameLimit(endpoint, 3.0)
            service.run(LIMITED_MILLIS)
            expectThat(service.knownLimits(endpoint)).isEqualTo(setOf(3.0))
            expectThat(service.arrived(endpoint, LIMITED_MILLIS - KNOWN_MILLIS)).isGreaterThan(5)
            service.expectWithin(endpoint, 3.0, fromMillis = service.nowMillis - LIMITED_MILLIS + 500)
            service.nameLimit(endpoint, null)
            service.run(KNOWN_MILLIS)
            expectThat(service.knownLimits(endpoint)).isEqualTo(setOf(null))
            service.run(WINDOW_MILLIS)
            expectThat(service.arrived(endpoint, WINDOW_MILLIS)).isGreaterThan(before * 3 / 4)
        }

    @Test
    fun `a limit that falls and rises is followed within 5 s`() = forEachEndpoint { service, endpoint ->
        listOf(8.0, 2.0, 20.0).forEach { perSecond ->
            service.nameLimit(endpoint, perSecond)
            service.run(KNOWN_MILLIS)
            expectThat(service.knownLimits(endpoint)).isEqualTo(setOf(perSecond))
            service.run(KNOWN_MILLIS)
        }
    }

    // A limit of 0 is tried once in five seconds.
    @Test
    fun `the end of a limit of 0 is known everywhere within 10 s`() = forEachEndpoint { service, endpoint ->
        service.nameLimit(endpoint, 0.0)
        service.run(LIMITED_MILLIS)
        service.nameLimit(endpoint, null)
        service.run(2 * KNOWN_MILLIS)
        expectThat(service.knownLimits(endpoint)).isEqualTo(setOf(null))
    }

    private fun forEachEndpoint(play: (LimitedService, EndpointId) -> Unit) {
        for (count in listOf(9, 59, 95)) {
            LimitedService(count).endpoints.forEach { endpoint ->
                play(LimitedService(count).also { it.run(SETTLE_MILLIS) }, endpoint)
            }
        }
    }

    /** In four seconds, six times the limit and five. */
    private fun LimitedService.expectWithin(endpoint: EndpointId, perSecond: Double, fromMillis: Long) {
        val sends = arrivals.getValue(endpoint).filter { it >= fromMillis }
        val most = sends.maxOfOrNull { from -> sends.count { it in from until from + 4_000 } } ?: 0
        expectThat(most.toDouble()).isLessThanOrEqualTo(perSecond * 6 + 5)
    }

    private companion object {
        const val SETTLE_MILLIS = 12_000L
        const val LIMITED_MILLIS = 20_000L
        const val KNOWN_MILLIS = 5_000L
        const val WINDOW_MILLIS = 5_000L
    }
}
