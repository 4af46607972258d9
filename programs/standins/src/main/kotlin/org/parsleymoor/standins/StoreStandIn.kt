package org.parsleymoor.standins

import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.ext.web.Router
import io.vertx.ext.web.RoutingContext
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.parsleymoor.clients.BlockTier
import org.parsleymoor.clients.CacheEvents
import org.parsleymoor.clients.CacheSnapshot
import org.parsleymoor.clients.StoreLoad
import org.parsleymoor.clients.TransferPiece
import org.parsleymoor.core.Clock

/**
 * A KV cache store with a memory and a disk tier behind one limited link; `docs/store-protocol.md` lists its calls.
 * A block's bytes may be fewer than the size that it declares and accounts for.
 */
public class StoreStandIn(
    vertx: Vertx,
    private val settings: StoreSettings,
    private val clock: Clock = Clock.System,
) {
    private val feed = CacheEventFeed(settings.eventLagMillis, settings.eventHistory)
    private val blocks = BlockTable(settings, feed)
    private val link = RatedLink(clock)
    private val journal = Journal(BlockCall.serializer(), settings.journalFile) { it.number }
    private val server = StandInServer(vertx, settings.host, settings.port, ::route)
    private var faults = StoreFaults()

    /** Binds the port and suspends until it accepts connections; returns the bound port. */
    public suspend fun start(): Int = server.start()

    private fun route(router: Router, scope: CoroutineScope) {
        router.route("/v1/*").handler {
            when {
                faults.down -> it.drop()
                faults.silent -> it.request().resume()
                else -> it.next()
            }
        }
        router.put("/v1/blocks/:piece").handler { scope.launch { write(it) } }
        router.get("/v1/blocks/:piece").handler { scope.launch { read(it) } }
        router.delete("/v1/blocks/:piece").handler { delete(it) }
        router.post("/v1/blocks/:piece/tier").handler { scope.launch { move(it) } }
        router.get(
            "/v1/load"
        ).handler { it.answer(StoreLoad.serializer(), blocks.report(settings, link.queuedBytes)) }
        router.get("/v1/cache/events").handler { events(it) }
        router.get("/v1/cache/snapshot").handler {
            it.answer(CacheSnapshot.serializer(), CacheSnapshot(settings.startCount, feed.sequence, blocks.content()))
        }
        router.get("/journal").handler { it.response().end(journal.json()) }
        router.post("/faults").handler { setFaults(it) }
    }

    private suspend fun write(context: RoutingContext) {
        val write = BlockWrite.of(context)
        if (faults.full) {
            record(write.piece, write.wantedGeneration, BlockOutcome.REFUSED, write.declaredBytes)
            context.response().setStatusCode(HttpStatus.STORAGE_FULL).end("expected free space, found none")
            return
        }
        val partial = faults.partialWrites > 0
        if (partial) faults = faults.copy(partialWrites = faults.partialWrites - 1)
        link.carry(write.declaredBytes, settings.memoryBytesPerSecond / faults.slowdown)
        val stored = write.block(blocks.generationFor(write.wantedGeneration), committed = !partial)
        blocks.put(write.piece, stored, clock.nowMillis())
        val outcome = if (partial) BlockOutcome.PARTIAL else BlockOutcome.WRITTEN
        record(write.piece, stored.generation, outcome, write.declaredBytes)
        if (partial) {
            context.drop()
        } else {
            context.answer(TransferPiece.serializer(), TransferPiece(write.piece, stored.generation))
        }
    }

    private suspend fun read(context: RoutingContext) {
        val piece = context.pathParam("piece")
        val generation = context.request().getParam("generation")?.toLongOrNull() ?: 0
        val first = blocks[piece]
        if (first != null && first.committed && first.generation == generation) carry(piece, first)
        val block = blocks[piece]
        val outcome = outcomeOf(block, generation)
        record(piece, generation, outcome, block?.declaredBytes ?: 0)
        if (block == null || outcome != BlockOutcome.READ) {
            val status = if (block == null) HttpStatus.NOT_FOUND else HttpStatus.CONFLICT
            context.response().setStatusCode(status).end(outcome.name)
            return
        }
        blocks.touch(piece)
        val torn = faults.tornReads > 0
        if (torn) faults = faults.copy(tornReads = faults.tornReads - 1)
        context.response().putHeader(BlockHeaders.CHECKSUM, block.checksum)
            .putHeader(BlockHeaders.DECLARED_BYTES, block.declaredBytes.toString())
            .end(Buffer.buffer(if (torn) block.content.copyOf(block.content.size / 2) else block.content))
    }

    private suspend fun carry(piece: String, block: StoredBlock) {
        val rate = if (blocks.isInMemory(piece)) settings.memoryBytesPerSecond else settings.diskBytesPerSecond
        link.carry(block.declaredBytes, rate / faults.slowdown)
    }

    private suspend fun move(context: RoutingContext) {
        val piece = context.pathParam("piece")
        val generation = context.request().getParam("generation")?.toLongOrNull() ?: 0
        val tier = if (context.request().getParam("tier") == "disk") BlockTier.DISK else BlockTier.MEMORY
        val block = blocks[piece]
        val outcome = outcomeOf(block, generation)
        if (block != null) link.carry(block.declaredBytes, settings.diskBytesPerSecond / faults.slowdown)
        val status = when {
            block == null -> HttpStatus.NOT_FOUND
            outcome != BlockOutcome.READ || blocks[piece] != block -> HttpStatus.CONFLICT
            !blocks.move(piece, tier, clock.nowMillis()) -> HttpStatus.STORAGE_FULL
            else -> HttpStatus.NO_CONTENT
        }
        val moved = status == HttpStatus.NO_CONTENT
        record(piece, generation, if (moved) BlockOutcome.MOVED else BlockOutcome.REFUSED, block?.declaredBytes ?: 0)
        context.response().setStatusCode(status).end()
    }

    private fun delete(context: RoutingContext) {
        val piece = context.pathParam("piece")
        blocks.remove(piece, clock.nowMillis())
        record(piece, 0, BlockOutcome.DELETED, 0)
        context.response().setStatusCode(HttpStatus.NO_CONTENT).end()
    }

    private fun events(context: RoutingContext) {
        val after = context.request().getParam("after")?.toLongOrNull() ?: 0
        context.answer(CacheEvents.serializer(), feed.after(after, settings.startCount, clock.nowMillis()))
    }

    private fun record(piece: String, generation: Long, outcome: BlockOutcome, bytes: Long) {
        journal.put(BlockCall(journal.next, piece, generation, outcome, bytes, clock.nowMillis()))
    }

    private fun setFaults(context: RoutingContext) {
        faults = context.readBody(StoreFaults.serializer()) ?: return
        if (faults.silenceOpenConnections) server.silenceOpenConnections()
        context.answer(StoreFaults.serializer(), faults)
    }
}

private fun outcomeOf(block: StoredBlock?, generation: Long): BlockOutcome = when {
    block == null -> BlockOutcome.ABSENT
    !block.committed -> BlockOutcome.NOT_COMMITTED
    block.generation != generation -> BlockOutcome.STALE_GENERATION
    else -> BlockOutcome.READ
}

private fun BlockTable.report(settings: StoreSettings, queuedBytes: Long) = StoreLoad(
    startCount = settings.startCount,
    memoryBytes = memoryUsed,
    memoryCapacityBytes = settings.memoryBytes,
    diskBytes = diskUsed,
    diskCapacityBytes = settings.diskBytes,
    queuedBytes = queuedBytes,
)
