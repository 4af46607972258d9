package org.parsleymoor.relay.cache

import org.parsleymoor.relay.exchange.PeerUpdate
import org.parsleymoor.relay.fleet.SocketAddress
import org.parsleymoor.relay.prompt.PromptPart

/** Names a part within one store. */
public data class CachedPart(public val namespace: String, public val part: String)

/** One change that a store reports: it holds [tokens] tokens of [part] completely, or none of it. */
public data class CacheStoreChange(public val part: CachedPart, public val tokens: Long, public val held: Boolean)

/**
 * What is known of a KV cache store: when it started, in its own count, the position in its events from which to read
 * on, and the number of tokens that it holds.
 */
public data class CacheStoreSummary(public val epoch: Long, public val position: Long, public val usedTokens: Long)

/**
 * Which complete parts the KV cache stores hold, from their events and lists. A part that is being written is unknown
 * here until the store reports it whole. Not safe for use from several threads.
 */
public class CacheStoreDirectory {
    private val stores = HashMap<SocketAddress, Contents>()

    /** What is known of [store], or null when its list has to be read first. */
    public fun summary(store: SocketAddress): CacheStoreSummary? =
        stores[store]?.let { CacheStoreSummary(it.epoch, it.position, it.used) }

    /** Takes in all that [store] holds. */
    public fun replaceContents(store: SocketAddress, epoch: Long, position: Long, parts: List<CacheStoreChange>) {
        val contents = Contents(epoch, position)
        parts.forEach(contents::apply)
        stores[store] = contents
    }

    /** Takes in events up to [position]; returns false when they do not join what is known and the list is needed. */
    public fun applyEvents(
        store: SocketAddress,
        epoch: Long,
        position: Long,
        gap: Boolean,
        parts: List<CacheStoreChange>
    ): Boolean {
        val contents = stores[store]
        if (contents == null || gap || contents.epoch != epoch) {
            stores -= store
            return false
        }
        parts.forEach(contents::apply)
        contents.position = position
        return true
    }

    /**
     * Takes in events of [store] that a peer has read; returns false when they do not join what is known and all of its
     * contents are needed.
     */
    public fun applyPeerEvents(events: PeerUpdate.CacheStoreEvents): Boolean {
        val contents = stores[events.store]
        if (contents != null && contents.epoch != events.epoch) stores -= events.store
        if (contents == null || contents.epoch != events.epoch || contents.position < events.from) return false
        if (events.to > contents.position) {
            events.changes.forEach(contents::apply)
            contents.position = events.to
        }
        return true
    }

    /** Returns all that [store] holds as changes of an empty one, or null when it is unknown. */
    public fun contents(store: SocketAddress): PeerUpdate.CacheStoreEvents? = stores[store]?.let { known ->
        val held = known.held.map { (part, tokens) -> CacheStoreChange(part, tokens, held = true) }
        PeerUpdate.CacheStoreEvents(store, known.epoch, from = 0, to = known.position, held)
    }

    /** Notes that [store], which started as [epoch], has freed [parts]; its events about them may be lost. */
    public fun removeFreed(store: SocketAddress, epoch: Long, parts: List<CachedPart>) {
        stores[store]?.takeIf { it.epoch == epoch }?.let { contents ->
            parts.forEach { contents.apply(CacheStoreChange(it, tokens = 0, held = false)) }
        }
    }

    /** Forgets what [store] holds, because it does not answer. */
    public fun forget(store: SocketAddress) {
        stores -= store
    }

    /** Forgets all stores but [known]. */
    public fun retain(known: Set<SocketAddress>) {
        stores.keys.retainAll(known)
    }

    /** Whether [store] holds [part] of [namespace] whole. */
    public fun holds(store: SocketAddress, namespace: String, part: PromptPart): Boolean =
        (stores[store]?.held?.get(CachedPart(namespace, part.id)) ?: -1) >= part.tokens

    /** Returns the parts of [store] that are in none of the namespaces that [wanted] accepts. */
    public fun unusableParts(store: SocketAddress, wanted: (String) -> Boolean): List<CachedPart> =
        stores[store]?.held?.keys.orEmpty().filterNot { wanted(it.namespace) }

    private class Contents(val epoch: Long, var position: Long) {
        val held = HashMap<CachedPart, Long>()
        var used = 0L

        fun apply(change: CacheStoreChange) {
            used -= held.remove(change.part) ?: 0
            if (change.held) {
                held[change.part] = change.tokens
                used += change.tokens
            }
        }
    }
}
