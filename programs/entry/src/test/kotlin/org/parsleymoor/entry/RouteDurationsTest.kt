package org.parsleymoor.entry

import org.junit.jupiter.api.Test
import org.parsleymoor.entry.serving.RouteDurations
import org.parsleymoor.relay.routing.RequestKind
import org.parsleymoor.relay.routing.Route
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against long requests that are accepted in a stop by the time of the short ones beside them. */
class RouteDurationsTest {
    private val durations = RouteDurations()
    private val route = Route(
        name = "r",
        host = "h",
        pathPrefix = "/r/",
        kind = RequestKind.STREAM,
        targets = emptyList(),
        timeoutMillis = 15_000,
        objectiveMillis = 1_000,
    )

    @Test
    fun `an unmeasured route is expected to take four objectives`() {
        expectThat(durations.usualMillis(route)).isEqualTo(4_000)
    }

    @Test
    fun `the longest recent request counts, and is forgotten in time`() {
        durations.record(route, 3_000)
        repeat(10) { durations.record(route, 100) }
        expectThat(durations.usualMillis(route)).isEqualTo(2_451)
        repeat(200) { durations.record(route, 100) }
        expectThat(durations.usualMillis(route)).isEqualTo(100)
    }

    @Test
    fun `forgets routes that are gone`() {
        durations.record(route, 3_000)
        durations.retain(listOf(route.copy(name = "other")))
        expectThat(durations.usualMillis(route)).isEqualTo(4_000)
    }
}
