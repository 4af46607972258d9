package org.parsleymoor.placement

import org.parsleymoor.context.PieceHash
import org.parsleymoor.core.EndpointId

/** An action that a retention policy requests for one block. */
public sealed interface RetentionAction {
    /** The piece whose block the action applies to. */
    public val piece: PieceHash

    /** Copy the block from [engine] to [store] before the engine evicts it. */
    public data class Export(
        override val piece: PieceHash,
        public val engine: EndpointId,
        public val store: EndpointId,
    ) : RetentionAction

    /** Move the block from the memory of [store] to its disk. */
    public data class MoveToDisk(override val piece: PieceHash, public val store: EndpointId) : RetentionAction

    /** Move the block from the disk of [store] to its memory, because it is expected to be used soon. */
    public data class Prefetch(override val piece: PieceHash, public val store: EndpointId) : RetentionAction

    /** Delete the block from [store]. */
    public data class Drop(override val piece: PieceHash, public val store: EndpointId) : RetentionAction
}
