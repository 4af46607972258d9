package org.parsleymoor.entry.control

import kotlinx.coroutines.async
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.select
import kotlinx.serialization.json.put
import org.parsleymoor.entry.Counter
import org.parsleymoor.entry.log.StructuredLog
import org.parsleymoor.entry.protocol.DecodeFailure
import org.parsleymoor.entry.protocol.StorePosition

/**
 * The newest era of the object store that this instance knows, from responses of the store and from peers. [restores]
 * counts the eras learned after the first. Confined to the event loop.
 */
internal class StoreEra(private val log: StructuredLog, private val restores: Counter = Counter()) {
    private val known = MutableStateFlow<Long?>(null)
    private val listeners = ArrayList<() -> Unit>()

    /** The newest known era, or 0 before the first response. */
    val newest: Long get() = known.value ?: 0

    /** Calls [listener] whenever a higher era than before is learned. */
    fun onNewEra(listener: () -> Unit) {
        listeners += listener
    }

    /** Records the [era] of a response of the store. */
    fun learnFromStore(era: Long) {
        if (known.value == null || era > newest) learn(era, "the store")
    }

    /** Records an [era] that [peer] knows; one that the store cannot have is logged and ignored. */
    fun learnFromPeer(era: Long, peer: String) {
        when {
            era !in 0..StorePosition.MAX_ERA -> log.write("store.eraUnreadable") {
                put("from", peer)
                put("era", era)
            }
            era > newest -> learn(era, peer)
        }
    }

    /** Logs that a response of the store has no readable era. */
    fun logUnreadable(failure: DecodeFailure) {
        log.write("store.eraUnreadable") {
            put("from", "the store")
            put("reason", failure.message)
        }
    }

    /** Makes [call], but cancels it and returns null as soon as an era after [era] is known. */
    suspend fun <T : Any> whileNotAfter(era: Long, call: suspend () -> T): T? = coroutineScope {
        val response = async { call() }
        val later = launch { known.first { (it ?: 0) > era } }
        select {
            response.onAwait { it }
            later.onJoin { null }
        }.also { coroutineContext.cancelChildren() }
    }

    private fun learn(era: Long, source: String) {
        val former = known.value
        known.value = era
        if (former != null) restores.increment()
        if (former != null || era > 0) {
            log.write("store.newEra", always = true) {
                put("era", era)
                put("former", former)
                put("from", source)
            }
        }
        if (era > 0) listeners.forEach { it() }
    }
}
