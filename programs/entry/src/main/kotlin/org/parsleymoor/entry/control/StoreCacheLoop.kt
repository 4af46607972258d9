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
import org.parsleymoor.entry.protocol.ControlCall
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
 * Follows what the KV cache stores hold: reads the events of some, as [CacheStorePollSchedule] says, and is told those
 * of the others by peers. One instance also frees what no engine can use any more, because managed
 * stores drop nothing by themselves and are full of older weights after a rollout.
 */
internal class StoreCacheLoop(private val context: ControlContext, private val peers: Peers) {
    private val beliefs = context.beliefs
    private val client = context.client
    private val engines = context.engines
    private val scope = context.scope
    private val log = context.log
    private val clock = context.clock
    private val reads = CacheStorePollSchedule(context.membership.roster)
    private val reading = HashSet<SocketAddress>()
    private var checkedMillis = 0L
    private var oldestWeights: Map<ModelId, Long?> = emptyMap()
    private var oldestSinceMillis = 0L

    /** Follows the stores of the configuration in force until the coroutine is cancelled. */
    suspend fun run() {
        while (true) {
            beliefs.cacheStores.filter { it.address !in reading && isDue(it) }.forEach { store ->
                reading += store.address
                scope.launch {
                    read(store.address)
                    reading -= store.address
                }
            }
            if (clock.nowMillis() - checkedMillis >= CHECK_MILLIS) {
                checkedMillis = clock.nowMillis()
                freeUnusable()
            }
            context.ticks.await(IDLE_TICKS)
        }
    }

    private fun isDue(store: CacheStore): Boolean {
        val heardMillis = beliefs.storeNewsMillis[store.address]
        return reads.isDue(store.address.toString(), store.spec.zone, heardMillis, clock.nowMillis())
    }

    private suspend fun read(store: SocketAddress) {
        val known = beliefs.stores.summary(store)
        val answered = if (known == null) list(store) else events(store, known.position)
        beliefs.storeNewsMillis[store] = clock.nowMillis()
        if (!answered) {
            beliefs.stores.forget(store)
            peers.tell(PeerUpdate.CacheStoreUnreachable(store))
            delay(RETRY_MILLIS)
        }
    }

    private suspend fun list(store: SocketAddress): Boolean {
        val contents = call(store, engines.contents(), CALL_MILLIS, engines::contents) ?: return false
        beliefs.stores.replaceContents(store, contents.epoch, contents.position, contents.changes)
        peers.tell(
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
        val events = call(store, engines.events(position, WAIT_MILLIS), WAIT_MILLIS + CALL_MILLIS, engines::events)
            ?: return false
        val joined = beliefs.stores.applyEvents(store, events.epoch, events.position, events.gap, events.changes)
        if (joined) {
            peers.tell(PeerUpdate.CacheStoreEvents(store, events.epoch, position, events.position, events.changes))
        } else {
            log.write("cacheStore.gap") { put("store", store.toString()) }
        }
        // A call that returns at once is charged as a probe.
        if (events.changes.isNotEmpty()) delay(PACE_MILLIS)
        return true
    }

    private suspend fun call(
        store: SocketAddress,
        call: ControlCall,
        timeoutMillis: Long,
        decode: (String) -> Result<CacheEvents, DecodeFailure>,
    ): CacheEvents? = context.ask(store, call, timeoutMillis, decode) { reason ->
        if (beliefs.stores.summary(store) != null) {
            log.write("cacheStore.lost", always = true) {
                put("store", store.toString())
                put("reason", reason)
            }
        }
    }

    /**
     * Frees parts that no engine can use: those of weights that are older than those of all engines. They are freed a
     * while after the last engine has changed, so that no fetch is under way. One instance does it for all.
     */
    private fun freeUnusable() {
        val nowMillis = clock.nowMillis()
        val oldest = beliefs.weights.keys.associateWith { beliefs.oldestWeights(it) }
        if (oldest != oldestWeights) {
            oldestWeights = oldest
            oldestSinceMillis = nowMillis
        }
        if (nowMillis - oldestSinceMillis < FETCH_MILLIS || !isFirstMember()) return
        beliefs.cacheStores.filter { it.spec.managed }.forEach { store ->
            val unusable = beliefs.stores.unusableParts(store.address, ::isUsable).take(PARTS_A_CALL)
            val epoch = beliefs.stores.summary(store.address)?.epoch
            if (unusable.isNotEmpty() && epoch != null) {
                scope.launch { free(store.address, epoch, unusable) }
            }
        }
    }

    private fun isFirstMember(): Boolean {
        val members = beliefs.members ?: return false
        return rendezvousOrder("free", members) { it.value }.first() == beliefs.self
    }

    private suspend fun free(store: SocketAddress, epoch: Long, parts: List<CachedPart>) {
        val answer = client.call(store, engines.free(parts, epoch), CALL_MILLIS).mapError { it.message }
        val status = answer.getOrElse { null }?.status
        if (status == HttpStatus.OK.code) beliefs.stores.removeFreed(store, epoch, parts)
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
        const val CHECK_MILLIS = 1_000L
        const val RETRY_MILLIS = 600L
        const val IDLE_TICKS = 2
        const val CALL_MILLIS = 1_000L
        const val WAIT_MILLIS = 1_000L
        const val PACE_MILLIS = 300L

        // A transfer that would wait more than two seconds is not started.
        const val FETCH_MILLIS = 3_000L
        const val PARTS_A_CALL = 2_000
    }
}
