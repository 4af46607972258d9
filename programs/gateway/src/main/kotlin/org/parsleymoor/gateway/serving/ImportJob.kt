package org.parsleymoor.gateway.serving

import org.parsleymoor.clients.EngineClient
import org.parsleymoor.clients.TransferRequest
import org.parsleymoor.clients.TransferResult
import org.parsleymoor.context.CacheTier
import org.parsleymoor.gateway.operations.TransferFailureReason
import org.parsleymoor.placement.PlacementSettings
import org.parsleymoor.placement.PrefixSource

/** An import of the blocks of [source] by the engine of [client], which is abandoned after [timeoutMillis]. */
internal class ImportJob(
    val source: PrefixSource.Import,
    val client: EngineClient,
    val transfer: TransferRequest,
    val timeoutMillis: Long,
) {
    /** Number of requested blocks. */
    val blocks: Int get() = transfer.pieces.size

    /** Size of the requested blocks, at the block size that placement assumes. */
    val bytes: Long get() = blocks * PlacementSettings().blockBytes

    /** The slowest tier of the blocks, which determines the rate of the import. */
    val tier: CacheTier get() = source.blocks.maxOf { it.tier }
}

/** Outcome of an [ImportJob]. */
internal sealed interface ImportOutcome {
    /** The engine answered after [millis]. */
    class Done(val result: TransferResult, val millis: Long) : ImportOutcome

    /** No answer says which blocks were copied. */
    class Dropped(val reason: TransferFailureReason) : ImportOutcome
}
