package org.parsleymoor.relay.routing

import org.junit.jupiter.api.Test
import org.parsleymoor.relay.configuration
import org.parsleymoor.relay.route
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNull

class RouteTableTest {
    private val table = RouteTable(configuration(listOf(route("short", "/a/"), route("long", "/a/b/"))))

    @Test
    fun `the route of the host with the longest matching prefix is selected`() {
        expectThat(table.route("h", "/a/b/c")?.name).isEqualTo("long")
        expectThat(table.route("H:8080", "/a/c")?.name).isEqualTo("short")
    }

    @Test
    fun `an unknown host, an unmatched path and an unknown key return null`() {
        expectThat(table.route("other", "/a/")).isNull()
        expectThat(table.route("h", "/a")).isNull()
        expectThat(table.organisation("nobody's")).isNull()
    }

    // Blocks that an organisation created before it was isolated must not be found by others afterwards.
    @Test
    fun `the namespace suffix changes with the set of isolated organisations`() {
        val isolated = RouteTable(configuration(emptyList(), isolated = setOf("x")))
        expectThat(isolated.isolationTag).isNotEqualTo(table.isolationTag)
    }

    @Test
    fun `services of a split route are selected by weight`() {
        val split = route("split", "/").copy(targets = listOf(RouteTarget("one", 90.0), RouteTarget("two", 10.0)))
        val services = listOf("one", "two").associateWith { Service(it, 1, 0, 0.0) }
        val splitTable = RouteTable(configuration(listOf(split)).copy(services = services))
        expectThat(splitTable.service(split, 0.89)?.name).isEqualTo("one")
        expectThat(splitTable.service(split, 0.91)?.name).isEqualTo("two")
    }
}
