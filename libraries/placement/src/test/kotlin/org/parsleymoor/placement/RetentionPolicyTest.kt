package org.parsleymoor.placement

import org.junit.jupiter.api.Test
import org.parsleymoor.context.CacheTier
import org.parsleymoor.context.HeldBlock
import org.parsleymoor.context.PieceHash
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.OrganisationId
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

class RetentionPolicyTest {
    private val store = EndpointId("store-1")
    private val organisation = OrganisationId("estate")
    private val hour = 3_600_000L

    @Test
    fun `a context with a daily pattern is expected to return at its usual time of day`() {
        val model = ReturnModel()
        listOf(6L, 11, 16, 30).forEach { model.used(organisation, listOf(piece(1)), it * hour) }
        val expected = model.expectedReturn(piece(1), 31 * hour)
        expectThat(expected.remainingMillis).isEqualTo(4 * hour)
    }

    @Test
    fun `a context used once has a low return probability in an organisation whose contexts rarely return`() {
        val model = ReturnModel()
        repeat(200) { model.used(organisation, listOf(piece(it)), 0) }
        repeat(10) { model.used(organisation, listOf(piece(it)), 5 * hour) }
        model.used(organisation, listOf(piece(500)), 72 * hour)
        expectThat(model.expectedReturn(piece(500), 73 * hour).probability).isGreaterThan(0.03).isLessThan(0.06)
        expectThat(model.expectedReturn(piece(150), 72 * hour).probability).isLessThan(0.01)
    }

    @Test
    fun `contexts too young to have returned do not lower the return probability`() {
        val model = ReturnModel()
        repeat(200) { model.used(organisation, listOf(piece(it)), 0) }
        expectThat(model.expectedReturn(piece(150), hour).probability).isGreaterThan(0.4)
    }

    @Test
    fun `least recently used drops the oldest block and return aware drops the one expected back last`() {
        val policies = listOf(LeastRecentlyUsedRetention(), ReturnAwareRetention())
        val dropped = policies.map { policy ->
            listOf(6L, 11, 30, 35).forEach { policy.used(organisation, listOf(piece(1)), it * hour) }
            listOf(16L, 20, 40, 44).forEach { policy.used(organisation, listOf(piece(2)), it * hour) }
            val content = StoreContent(store, listOf(memory(1), memory(2)), memoryBlocks = 2, diskBlocks = 0)
            policy.makeRoom(content, incoming = 1, nowMillis = 53 * hour)
        }
        expectThat(dropped[0]).contains(RetentionAction.Drop(piece(1), store))
        expectThat(dropped[1]).contains(RetentionAction.Drop(piece(2), store))
    }

    @Test
    fun `the last pieces of a context are evicted before its first`() {
        val policy = ReturnAwareRetention()
        policy.used(organisation, listOf(piece(0), piece(1), piece(2)), 0)
        val content = StoreContent(store, List(3) { memory(it) }, memoryBlocks = 2, diskBlocks = 1)
        val actions = policy.makeRoom(content, incoming = 1, nowMillis = 1_000)
        expectThat(actions.first()).isEqualTo(RetentionAction.Drop(piece(2), store))
        expectThat(actions).contains(RetentionAction.MoveToDisk(piece(1), store))
    }

    @Test
    fun `a block on disk is prefetched shortly before its expected return and not earlier`() {
        val early = prefetchAt(26 * hour)
        val due = prefetchAt(29 * hour + 2_000_000)
        expectThat(early).isEqualTo(emptyList())
        expectThat(due).contains(RetentionAction.Prefetch(piece(1), store))
    }

    private fun prefetchAt(nowMillis: Long): List<RetentionAction> {
        val policy = ReturnAwareRetention()
        listOf(0L, 6, 24).forEach { policy.used(organisation, listOf(piece(1)), it * hour) }
        val disk = HeldBlock(piece(1), CacheTier.STORE_DISK)
        return policy.prefetch(StoreContent(store, listOf(disk), memoryBlocks = 2, diskBlocks = 2), nowMillis)
    }

    private fun piece(number: Int) = PieceHash(1, number.toLong())

    private fun memory(number: Int) = HeldBlock(piece(number), CacheTier.STORE_MEMORY)
}
