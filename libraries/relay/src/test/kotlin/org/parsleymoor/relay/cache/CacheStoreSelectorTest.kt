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
    private val engine = EngineCache(ZoneId("a"), "space", tokenBytes = 18_432)
    private val part = PromptPart("p", 1_000)

    @Test
    fun `a part is fetched from the nearest store that holds it completely`() {
        stores.forEach { startEmpty(it) }
        expectThat(selector.fetchSource(part, engine, stores, emptyList())).isNull()
        addPart(far, tokens = 1_000)
        addPart(sameRegion, tokens = 1_000)
        addPart(near, tokens = 999)
        expectThat(selector.fetchSource(part, engine, stores, emptyList())).isEqualTo(sameRegion)
    }

    @Test
    fun `a part of another namespace or of a forgotten store is not fetched`() {
        startEmpty(near)
        addPart(near, tokens = 1_000)
        expectThat(selector.fetchSource(part, engine.copy(namespace = "other"), stores, emptyList())).isNull()
        directory.forget(near.address)
        expectThat(selector.fetchSource(part, engine, stores, emptyList())).isNull()
    }

    @Test
    fun `a store that restarted or lost events has to be listed again`() {
        startEmpty(near)
        expectThat(
            directory.applyEvents(near.address, epoch = 2, position = 9, gap = false, parts = emptyList())
        ).isFalse()
        expectThat(directory.summary(near.address)).isNull()
        startEmpty(near)
        expectThat(
            directory.applyEvents(near.address, epoch = 1, position = 9, gap = true, parts = emptyList())
        ).isFalse()
    }

    // Events about freed parts may be lost; the parts would be counted, fetched and freed again forever.
    @Test
    fun `parts that a store has freed leave the directory, unless the store has restarted`() {
        startEmpty(near)
        addPart(near, tokens = 1_000)
        directory.removeFreed(near.address, epoch = 2, listOf(CachedPart("space", "p")))
        expectThat(directory.summary(near.address)?.usedTokens).isEqualTo(1_000)
        directory.removeFreed(near.address, epoch = 1, listOf(CachedPart("space", "p")))
        expectThat(directory.summary(near.address)?.usedTokens).isEqualTo(0)
    }

    @Test
    fun `a part is saved to a store in the region with space, unless the region already holds it`() {
        stores.forEach { startEmpty(it) }
        expectThat(selector.saveTarget(part, prompt("p"), engine, stores, emptyList())).isEqualTo(near)
        expectThat(selector.saveTarget(part, prompt("p"), engine, listOf(far), emptyList())).isNull()
        addPart(sameRegion, tokens = 1_000)
        expectThat(selector.saveTarget(part, prompt("p"), engine, stores, emptyList())).isNull()
    }

    // During a rollout, parts of the weights that are being replaced would fill the stores and soon be useless.
    @Test
    fun `parts of weights that are being replaced are fetched but not saved`() {
        stores.forEach { startEmpty(it) }
        val older = engine.copy(current = false)
        expectThat(selector.saveTarget(part, prompt("p"), older, stores, emptyList())).isNull()
        addPart(near, tokens = 1_000)
        expectThat(selector.fetchSource(part, older, stores, emptyList())).isEqualTo(near)
    }

    @Test
    fun `parts of a prompt with allowed regions are saved and fetched only there`() {
        stores.forEach { startEmpty(it) }
        addPart(near, tokens = 1_000)
        val south = listOf(setOf(RegionId("south")))
        expectThat(selector.fetchSource(part, engine, stores, south)).isNull()
        expectThat(selector.saveTarget(part, prompt("p"), engine, stores, south)).isNull()
    }

    // Requests wait for their fetches, so instances that together overload a link delay all of them.
    @Test
    fun `instances together do not overload a link`() {
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

    private fun startEmpty(store: CacheStore) = directory.replaceContents(
        store.address,
        epoch = 1,
        position = 0,
        emptyList()
    )

    private fun addPart(store: CacheStore, tokens: Long) {
        val change = CacheStoreChange(CachedPart("space", "p"), tokens, held = true)
        directory.applyEvents(store.address, epoch = 1, position = 1, gap = false, listOf(change))
    }
}
