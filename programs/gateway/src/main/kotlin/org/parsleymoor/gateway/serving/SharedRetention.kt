package org.parsleymoor.gateway.serving

import org.parsleymoor.context.PieceHash
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.OrganisationId
import org.parsleymoor.placement.RetentionAction
import org.parsleymoor.placement.RetentionPolicy
import org.parsleymoor.placement.ReturnAwareRetention
import org.parsleymoor.placement.StoreContent

/** A retention policy for use from several threads. Its lock is taken alone. */
internal class SharedRetention(private val policy: RetentionPolicy = ReturnAwareRetention()) {
    /** A request of [organisation] through this gateway uses [pieces]. */
    @Synchronized
    fun used(organisation: OrganisationId, pieces: List<PieceHash>, nowMillis: Long) {
        policy.used(organisation, pieces, nowMillis)
    }

    /** An engine has computed or imported [pieces] for a request that may have come through another gateway. */
    fun stored(pieces: List<PieceHash>, nowMillis: Long) {
        if (pieces.isNotEmpty()) used(ANY_ORGANISATION, pieces, nowMillis)
    }

    /** Returns those of [pieces] that are worth an export from [engine] to [store]. */
    @Synchronized
    fun selectForExport(
        engine: EndpointId,
        store: EndpointId,
        pieces: List<PieceHash>,
        nowMillis: Long,
    ): List<PieceHash> = policy.export(engine, store, pieces, nowMillis).map { it.piece }

    @Synchronized
    fun makeRoom(content: StoreContent, incoming: Int, nowMillis: Long): List<RetentionAction> =
        policy.makeRoom(content, incoming, nowMillis)

    @Synchronized
    fun prefetch(content: StoreContent, nowMillis: Long): List<RetentionAction> = policy.prefetch(content, nowMillis)

    private companion object {
        // Cache events do not say whose block it is. A piece that this gateway has seen keeps its organisation.
        val ANY_ORGANISATION = OrganisationId("any")
    }
}
