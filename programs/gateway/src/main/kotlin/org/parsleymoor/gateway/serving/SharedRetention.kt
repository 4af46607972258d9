package org.parsleymoor.gateway.serving

import org.parsleymoor.context.PieceHash
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.OrganisationId
import org.parsleymoor.placement.RetentionAction
import org.parsleymoor.placement.RetentionPolicy
import org.parsleymoor.placement.ReturnAwareRetention
import org.parsleymoor.placement.StoreContent

/** A thread-safe retention policy. Its lock is not held together with another lock. */
internal class SharedRetention(private val policy: RetentionPolicy = ReturnAwareRetention()) {
    /** Records that a request of [organisation] through this gateway uses [pieces]. */
    @Synchronized
    fun used(organisation: OrganisationId, pieces: List<PieceHash>, nowMillis: Long) {
        policy.used(organisation, pieces, nowMillis)
    }

    /** Records that an engine computed or imported [pieces], possibly for a request through another gateway. */
    fun stored(pieces: List<PieceHash>, nowMillis: Long) {
        if (pieces.isNotEmpty()) used(ANY_ORGANISATION, pieces, nowMillis)
    }

    /** Returns the [pieces] that are worth exporting from [engine] to [store]. */
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
        // Cache events do not name the organisation. A piece known from a request here keeps its organisation.
        val ANY_ORGANISATION = OrganisationId("any")
    }
}
