package org.parsleymoor.relay.cache

import org.parsleymoor.relay.exchange.PeerUpdate
import org.parsleymoor.relay.fleet.SocketAddress
import org.parsleymoor.relay.prompt.PromptPart

/** Identifies a part of a prompt within a store. */
public data class CachedPart(public val namespace: String, public val part: String)

/** A change that a store reports: it now holds the complete [part] of [tokens] tokens, or no longer holds it. */
public data class CacheStoreChange(public val part: CachedPart, public val tokens: Long, public val held: Boolean)

/**
 * What is known of a KV cache store: its [epoch], which changes with every start, the [position] in its event log from
 * which to continue reading, and the number of tokens that it holds.
 */
public data class CacheStoreSummary(public val epoch: Long, public val position: Long, public val usedTokens: Long)

/**
 * Tracks which complete parts the KV cache stores hold, from their listings and events. A part that is being written is
 * absent until the store reports it as complete. Not thread-safe.
 */
public class CacheStoreDirectory {
    private val stores = HashMap<SocketAddress, Contents>()

    /** Returns the state of [store], or null when its contents have to be listed first. */
    public fun summary(store: SocketAddress): CacheStoreSummary? =
        stores[store]?.let { CacheStoreSummary(it.epoch, it.position, it.usedTokens) }

    /** Replaces the known contents of [store] with a listing. */
    public fun replaceContents(store: SocketAddress, epoch: Long, position: Long, parts: List<CacheStoreChange>) {
        val contents = Contents(epoch, position)
        parts.forEach(contents::apply)
        stores[store] = contents
    }

    /**
     * Applies events up to [position]. Returns false, and forgets the store, when events are missing or the store has
     * restarted, so that its contents have to be listed again.
     */
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
     * Applies events that a peer has read. Returns false when events between the known position and theirs are missing
     * or the epochs differ, so that the complete contents are needed.
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

    /** Returns the contents of [store] as changes to an empty store, or null when they are unknown. */
    public fun contents(store: SocketAddress): PeerUpdate.CacheStoreEvents? = stores[store]?.let { known ->
        val held = known.held.map { (part, tokens) -> CacheStoreChange(part, tokens, held = true) }
        PeerUpdate.CacheStoreEvents(store, known.epoch, from = 0, to = known.position, held)
    }

    /** Removes [parts] that [store] freed in [epoch]; its events about them may be lost. */
    public fun removeFreed(store: SocketAddress, epoch: Long, parts: List<CachedPart>) {
        stores[store]?.takeIf { it.epoch == epoch }?.let { contents ->
            parts.forEach { contents.apply(CacheStoreChange(it, tokens = 0, held = false)) }
        }
    }

    /** Forgets the contents of [store], which does not respond. */
    public fun forget(store: SocketAddress) {
        stores -= store
    }

    /** Forgets all stores except [known]. */
    public fun retain(known: Set<SocketAddress>) {
        stores.keys.retainAll(known)
    }

    /** Returns whether [store] holds the complete [part] of [namespace]. */
    public fun holds(store: SocketAddress, namespace: String, part: PromptPart): Boolean =
        (stores[store]?.held?.get(CachedPart(namespace, part.id)) ?: -1) >= part.tokens

    /** Returns the parts of [store] whose namespace fails [isUsable]. */
    public fun unusableParts(store: SocketAddress, isUsable: (String) -> Boolean): List<CachedPart> =
        stores[store]?.held?.keys.orEmpty().filterNot { isUsable(it.namespace) }

    private class Contents(val epoch: Long, var position: Long) {
        val held = HashMap<CachedPart, Long>()
        var usedTokens = 0L

        fun apply(change: CacheStoreChange) {
            usedTokens -= held.remove(change.part) ?: 0
            if (change.held) {
                held[change.part] = change.tokens
                usedTokens += change.tokens
            }
        }
    }
}
