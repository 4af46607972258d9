package org.parsleymoor.relay.cache

import org.junit.jupiter.api.Test
import org.parsleymoor.core.RegionId
import org.parsleymoor.core.ZoneId
import org.parsleymoor.relay.TOPOLOGY
import org.parsleymoor.relay.fleet.SocketAddress
import org.parsleymoor.relay.prompt
import org.parsleymoor.relay.prompt.PromptPart
import org.parsleymoor.relay.routing.CacheStoreSpec
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue

class CacheStoreSelectorTest {
    private val directory = CacheStoreDirectory()
    private val selector = CacheStoreSelector(TOPOLOGY, directory)
    private val near = store("10.0.0.1", "a")
    private val sameRegion = store("10.0.0.2", "b")
    private val far = store("10.0.0.3", "c")
    private val stores = listOf(far, sameRegion, near)
    private val side = EngineCache(ZoneId("a"), "space", tokenBytes = 18_432)
    private val part = PromptPart("p", 1_000)

    @Test
    fun `a part is fetched from the nearest store that holds it whole`() {
        stores.forEach { listed(it) }
        expectThat(selector.fetchSource(part, side, stores, emptyList())).isNull()
        hold(far, tokens = 1_000)
        hold(sameRegion, tokens = 1_000)
        hold(near, tokens = 999)
        expectThat(selector.fetchSource(part, side, stores, emptyList())).isEqualTo(sameRegion)
    }

    @Test
    fun `a part of another name space or of a store that was lost is not fetched`() {
        listed(near)
        hold(near, tokens = 1_000)
        expectThat(selector.fetchSource(part, side.copy(namespace = "other"), stores, emptyList())).isNull()
        directory.forget(near.address)
        expectThat(selector.fetchSource(part, side, stores, emptyList())).isNull()
    }

    @Test
    fun `a store that started again or lost events is listed anew before it is used`() {
        listed(near)
        expectThat(
            directory.applyEvents(near.address, epoch = 2, position = 9, gap = false, parts = emptyList())
        ).isFalse()
        expectThat(directory.summary(near.address)).isNull()
        listed(near)
        expectThat(
            directory.applyEvents(near.address, epoch = 1, position = 9, gap = true, parts = emptyList())
        ).isFalse()
    }

    // Events about freed parts may be lost: the parts would be counted, fetched and freed again for ever.
    @Test
    fun `parts that a store has freed are gone from the directory, unless the store started again`() {
        listed(near)
        hold(near, tokens = 1_000)
        directory.removeFreed(near.address, epoch = 2, listOf(CachedPart("space", "p")))
        expectThat(directory.summary(near.address)?.usedTokens).isEqualTo(1_000)
        directory.removeFreed(near.address, epoch = 1, listOf(CachedPart("space", "p")))
        expectThat(directory.summary(near.address)?.usedTokens).isEqualTo(0)
    }

    @Test
    fun `parts are saved to a store of the region with room, and not where the region has them`() {
        stores.forEach { listed(it) }
        expectThat(selector.saveTarget(part, prompt("p"), side, stores, emptyList())).isEqualTo(near)
        expectThat(selector.saveTarget(part, prompt("p"), side, listOf(far), emptyList())).isNull()
        hold(sameRegion, tokens = 1_000)
        expectThat(selector.saveTarget(part, prompt("p"), side, stores, emptyList())).isNull()
    }

    // A rollout: parts of weights that are being replaced would fill the stores and are of no use soon.
    @Test
    fun `nothing is saved for weights that are being replaced, but what is there is fetched`() {
        stores.forEach { listed(it) }
        val older = side.copy(current = false)
        expectThat(selector.saveTarget(part, prompt("p"), older, stores, emptyList())).isNull()
        hold(near, tokens = 1_000)
        expectThat(selector.fetchSource(part, older, stores, emptyList())).isEqualTo(near)
    }

    @Test
    fun `a prompt with allowed regions is stored and fetched only there`() {
        stores.forEach { listed(it) }
        hold(near, tokens = 1_000)
        val south = listOf(setOf(RegionId("south")))
        expectThat(selector.fetchSource(part, side, stores, south)).isNull()
        expectThat(selector.saveTarget(part, prompt("p"), side, stores, south)).isNull()
    }

    // Requests wait for their fetches, so instances that together ask more of a link than it carries delay all of them.
    @Test
    fun `instances together do not ask more of a link than it carries`() {
        val instances = 9
        val budgets = List(instances) { TransferBudget() }
        val link = CacheStoreLink(near.address, tokensPerMilli = 100.0, instances = instances)
        var tokens = 0.0
        (0L until 20_000L step 10).forEach { now ->
            budgets.forEach { if (it.tryTake(link, 1_000.0, 0.0, now)) tokens += 1_000 }
        }
        expectThat(tokens <= 100.0 * 20_000 * 1.15).isTrue()
    }

    private fun store(host: String, zone: String) = CacheStore(
        SocketAddress(host, 80),
        CacheStoreSpec("$host:80", ZoneId(zone), cacheTokens = 100_000, managed = true, linkMegabits = 33_000.0, 12),
    )

    private fun listed(store: CacheStore) = directory.replaceContents(
        store.address,
        epoch = 1,
        position = 0,
        emptyList()
    )

    private fun hold(store: CacheStore, tokens: Long) {
        val change = CacheStoreChange(CachedPart("space", "p"), tokens, held = true)
        directory.applyEvents(store.address, epoch = 1, position = 1, gap = false, listOf(change))
    }
}
