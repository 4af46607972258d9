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
 * The newest era of the object store that this instance knows, from responses of the store and from peers. An era that
 * one response stated is only confirmed by the next one or by a peer; until then it can turn out to be wrong, when
 * [CONTRADICTIONS] later calls in a row are answered as of a lower era. [restores] counts the eras confirmed after the
 * first. Confined to the event loop.
 */
internal class StoreEra(private val log: StructuredLog, private val restores: Counter = Counter()) {
    private val known = MutableStateFlow<Long?>(null)
    private val listeners = ArrayList<() -> Unit>()
    private val withdrawalListeners = ArrayList<() -> Unit>()
    private var lastConfirmed: Long? = null
    private var contradictions = 0

    /** The newest known era, or 0 before the first response. */
    val newest: Long get() = known.value ?: 0

    /** The newest confirmed era, or 0 before there is one. */
    val confirmed: Long get() = lastConfirmed ?: 0

    /** Whether the newest known era is confirmed. */
    val isConfirmed: Boolean get() = known.value == lastConfirmed

    /** Whether the newest known era is confirmed, or there is no confirmed era to keep to instead. */
    val isUsable: Boolean get() = isConfirmed || lastConfirmed == null

    /** Number of times that the newest known era changed. */
    var changes = 0
        private set

    /** Calls [listener] whenever a higher era than before is learned. */
    fun onNewEra(listener: () -> Unit) {
        listeners += listener
    }

    /** Calls [listener] whenever the newest known era turned out to be wrong. */
    fun onWithdrawn(listener: () -> Unit) {
        withdrawalListeners += listener
    }

    /** Records the [era] of a response of the store to a call that began when [changesBefore] was [changes]. */
    fun learnFromStore(era: Long, changesBefore: Int) {
        when {
            known.value == null || era > newest -> learn(era, "the store")
            era == newest -> if (contradictions == 0) confirm(era) else contradictions = 0
            !isConfirmed && changesBefore == changes -> contradict(era)
        }
        // No store has a lower era that a wrong response could hide.
        if (era == 0L && newest == 0L) confirm(era)
    }

    /** Records an [era] that [peer] has confirmed; one that the store cannot have is logged and ignored. */
    fun learnFromPeer(era: Long, peer: String) {
        when {
            era !in 0..StorePosition.MAX_ERA -> log.write("store.eraUnreadable") {
                put("from", peer)
                put("era", era)
            }
            else -> {
                if (era > newest) learn(era, peer)
                if (era > confirmed) confirm(era)
            }
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
        change(era)
        if (former != null || era > 0) {
            log.write("store.newEra", always = true) {
                put("era", era)
                put("former", former)
                put("from", source)
            }
        }
        if (era > 0) listeners.forEach { it() }
    }

    private fun confirm(era: Long) {
        if (era == lastConfirmed) return
        if (lastConfirmed != null) restores.increment()
        lastConfirmed = era
    }

    private fun contradict(era: Long) {
        if (++contradictions < CONTRADICTIONS) return
        val wrong = newest
        change(maxOf(era, confirmed))
        log.write("store.eraWithdrawn", always = true) {
            put("era", newest)
            put("wrong", wrong)
        }
        withdrawalListeners.forEach { it() }
    }

    private fun change(era: Long) {
        known.value = era
        contradictions = 0
        changes++
    }

    private companion object {
        // One response of a lower era may itself be wrong.
        const val CONTRADICTIONS = 2
    }
}
