package org.parsleymoor.placement

import org.parsleymoor.context.PieceHash
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.OrganisationId

/** Baseline: exports every block, evicts the least recently used blocks first and never prefetches. */
public class LeastRecentlyUsedRetention : RetentionPolicy() {
    private val lastUses = HashMap<PieceHash, Long>()

    override fun used(organisation: OrganisationId, pieces: List<PieceHash>, nowMillis: Long) {
        pieces.forEach { lastUses[it] = nowMillis }
    }

    override fun export(
        engine: EndpointId,
        store: EndpointId,
        pieces: List<PieceHash>,
        nowMillis: Long,
    ): List<RetentionAction> = pieces.map { RetentionAction.Export(it, engine, store) }

    override fun makeRoom(content: StoreContent, incoming: Int, nowMillis: Long): List<RetentionAction> =
        evict(content, incoming) { lastUses[it.piece]?.toDouble() ?: 0.0 }

    override fun prefetch(content: StoreContent, nowMillis: Long): List<RetentionAction> = emptyList()
}
