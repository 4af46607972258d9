package org.parsleymoor.gateway.serving

import org.parsleymoor.clients.EngineClient
import org.parsleymoor.clients.TransferRequest
import org.parsleymoor.clients.TransferResult
import org.parsleymoor.context.CacheTier
import org.parsleymoor.gateway.operations.TransferFailureReason
import org.parsleymoor.placement.PlacementSettings
import org.parsleymoor.placement.PrefixSource

/** An import of the blocks of [source] by the engine behind [client], which is dropped after [deadlineMillis]. */
internal class ImportJob(
    val source: PrefixSource.Import,
    val client: EngineClient,
    val transfer: TransferRequest,
    val deadlineMillis: Long,
) {
    /** Number of blocks that are wanted. */
    val blocks: Int get() = transfer.pieces.size

    /** Size of the wanted blocks as the placement assumes it. */
    val bytes: Long get() = blocks * PlacementSettings().blockBytes

    /** The slower tier sets the rate of an import from both. */
    val tier: CacheTier get() = source.blocks.maxOf { it.tier }
}

/** What became of an [ImportJob]. */
internal sealed interface ImportOutcome {
    /** The engine answered after [millis]. */
    class Done(val result: TransferResult, val millis: Long) : ImportOutcome

    /** There is no answer that says which blocks were copied. */
    class Dropped(val reason: TransferFailureReason) : ImportOutcome
}
