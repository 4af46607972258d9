package org.parsleymoor.entry.control

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.mapError
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.json.put
import org.parsleymoor.core.ModelId
import org.parsleymoor.core.rendezvousOrder
import org.parsleymoor.entry.protocol.CacheEvents
import org.parsleymoor.entry.protocol.ControlRequest
import org.parsleymoor.entry.protocol.DecodeFailure
import org.parsleymoor.entry.serving.oldestWeights
import org.parsleymoor.relay.cache.CacheStore
import org.parsleymoor.relay.cache.CachedPart
import org.parsleymoor.relay.exchange.CacheStorePollSchedule
import org.parsleymoor.relay.exchange.PeerUpdate
import org.parsleymoor.relay.fleet.SocketAddress
import org.parsleymoor.relay.http.HttpStatus
import org.parsleymoor.relay.prompt.parseCacheNamespace

/**
 * Tracks the contents of the KV cache stores: reads the events of some, on the schedule of [CacheStorePollSchedule],
 * and receives those of the others from peers. One instance also frees the parts that no engine can use any more,
 * because managed stores evict nothing by themselves and would stay full of parts for older weights after a rollout.
 */
internal class CacheStoreLoop(private val context: ControlContext, private val peers: Peers) {
    private val deployment = context.deployment
    private val client = context.client
    private val engines = context.engines
    private val scope = context.scope
    private val log = context.log
    private val clock = context.clock
    private val schedule = CacheStorePollSchedule(context.membership.roster)
    private val pending = HashSet<SocketAddress>()
    private var freeCheckMillis = 0L
    private var oldestWeights: Map<ModelId, Long?> = emptyMap()
    private var oldestSinceMillis = 0L

    /** Tracks the stores of the configuration in force until the coroutine is cancelled. */
    suspend fun run() {
        while (true) {
            deployment.cacheStores.filter { it.address !in pending && isDue(it) }.forEach { store ->
                pending += store.address
                scope.launch {
                    try {
                        read(store.address)
                    } finally {
                        pending -= store.address
                    }
                }
            }
            if (clock.nowMillis() - freeCheckMillis >= FREE_CHECK_MILLIS) {
                freeCheckMillis = clock.nowMillis()
                freeUnusable()
            }
            context.ticks.await(IDLE_TICKS)
        }
    }

    private fun isDue(store: CacheStore): Boolean {
        val updatedMillis = deployment.lastStoreResponseMillis[store.address]
        return schedule.isDue(store.address.toString(), store.spec.zone, updatedMillis, clock.nowMillis())
    }

    private suspend fun read(store: SocketAddress) {
        val known = deployment.stores.summary(store)
        val responded = if (known == null) list(store) else events(store, known.position)
        deployment.lastStoreResponseMillis[store] = clock.nowMillis()
        if (!responded) {
            deployment.stores.forget(store)
            peers.publish(PeerUpdate.CacheStoreUnreachable(store))
            delay(RETRY_DELAY_MILLIS)
        }
    }

    private suspend fun list(store: SocketAddress): Boolean {
        val contents = call(store, engines.contents(), TIMEOUT_MILLIS, engines::contents) ?: return false
        deployment.stores.replaceContents(store, contents.epoch, contents.position, contents.changes)
        peers.publish(
            PeerUpdate.CacheStoreEvents(store, contents.epoch, contents.position, contents.position, emptyList())
        )
        log.write("cacheStore.listed") {
            put("store", store.toString())
            put("epoch", contents.epoch)
            put("parts", contents.changes.size)
        }
        return true
    }

    private suspend fun events(store: SocketAddress, position: Long): Boolean {
        val events = call(store, engines.events(position, WAIT_MILLIS), WAIT_MILLIS + TIMEOUT_MILLIS, engines::events)
            ?: return false
        val continuous = deployment.stores.applyEvents(store, events.epoch, events.position, events.gap, events.changes)
        if (continuous) {
            peers.publish(PeerUpdate.CacheStoreEvents(store, events.epoch, position, events.position, events.changes))
        } else {
            log.write("cacheStore.gap") { put("store", store.toString()) }
        }
        // A call that returns immediately is billed as a probe: a delay reads several events together.
        if (events.changes.isNotEmpty()) delay(BURST_DELAY_MILLIS)
        return true
    }

    private suspend fun call(
        store: SocketAddress,
        call: ControlRequest,
        timeoutMillis: Long,
        decode: (String) -> Result<CacheEvents, DecodeFailure>,
    ): CacheEvents? = context.callAndDecode(store, call, timeoutMillis, decode) { reason ->
        if (deployment.stores.summary(store) != null) {
            log.write("cacheStore.lost", always = true) {
                put("store", store.toString())
                put("reason", reason)
            }
        }
    }

    /**
     * Frees the parts that no engine can use: those for weights older than the weights of every engine. Waits a while
     * after the last engine has changed its weights, so that no fetch is in progress. Only one instance does this.
     */
    private fun freeUnusable() {
        val nowMillis = clock.nowMillis()
        val oldest = deployment.weights.keys.associateWith { deployment.oldestWeights(it) }
        if (oldest != oldestWeights) {
            oldestWeights = oldest
            oldestSinceMillis = nowMillis
        }
        if (nowMillis - oldestSinceMillis < MAX_FETCH_MILLIS || !isFirstMember()) return
        deployment.cacheStores.filter { it.spec.managed }.forEach { store ->
            val unusable = deployment.stores.unusableParts(store.address, ::isUsable).take(MAX_PARTS_PER_CALL)
            val epoch = deployment.stores.summary(store.address)?.epoch
            if (unusable.isNotEmpty() && epoch != null) {
                scope.launch { free(store.address, epoch, unusable) }
            }
        }
    }

    private fun isFirstMember(): Boolean {
        val members = deployment.members ?: return false
        return rendezvousOrder("free", members) { it.value }.first() == deployment.self
    }

    private suspend fun free(store: SocketAddress, epoch: Long, parts: List<CachedPart>) {
        val response = client.call(store, engines.free(parts, epoch), TIMEOUT_MILLIS).mapError { it.message }
        val status = response.getOrElse { null }?.status
        if (status == HttpStatus.OK.code) deployment.stores.removeFreed(store, epoch, parts)
        log.write("cacheStore.freed") {
            put("store", store.toString())
            put("parts", parts.size)
            put("outcome", status?.toString() ?: "no response")
        }
    }

    private fun isUsable(namespace: String): Boolean {
        val (model, version) = parseCacheNamespace(namespace) ?: return true
        return version >= (oldestWeights[model] ?: version)
    }

    private companion object {
        const val FREE_CHECK_MILLIS = 1_000L
        const val RETRY_DELAY_MILLIS = 600L
        const val IDLE_TICKS = 2
        const val TIMEOUT_MILLIS = 1_000L
        const val WAIT_MILLIS = 1_000L
        const val BURST_DELAY_MILLIS = 300L

        // A transfer that would have to wait longer than two seconds is not started.
        const val MAX_FETCH_MILLIS = 3_000L
        const val MAX_PARTS_PER_CALL = 2_000
    }
}
