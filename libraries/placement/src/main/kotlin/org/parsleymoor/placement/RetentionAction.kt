package org.parsleymoor.placement

import org.parsleymoor.context.PieceHash
import org.parsleymoor.core.EndpointId

/** What the retention policy asks for one block. */
public sealed interface RetentionAction {
    /** The block that the action is about. */
    public val piece: PieceHash

    /** Copy the block from [engine] to [store] before the engine evicts it. */
    public data class Export(
        override val piece: PieceHash,
        public val engine: EndpointId,
        public val store: EndpointId,
    ) : RetentionAction

    /** Move the block from the memory of [store] to its disk. */
    public data class MoveToDisk(override val piece: PieceHash, public val store: EndpointId) : RetentionAction

    /** Move the block from the disk of [store] to its memory, since its context is expected back soon. */
    public data class Prefetch(override val piece: PieceHash, public val store: EndpointId) : RetentionAction

    /** Delete the block from [store]. */
    public data class Drop(override val piece: PieceHash, public val store: EndpointId) : RetentionAction
}
