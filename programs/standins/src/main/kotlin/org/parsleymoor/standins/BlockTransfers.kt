package org.parsleymoor.standins

import io.vertx.core.Vertx
import io.vertx.core.VertxException
import io.vertx.core.buffer.Buffer
import io.vertx.ext.web.RoutingContext
import io.vertx.ext.web.client.HttpResponse
import io.vertx.ext.web.client.WebClient
import io.vertx.kotlin.coroutines.coAwait
import org.parsleymoor.clients.HttpAddress
import org.parsleymoor.clients.TransferPiece
import org.parsleymoor.clients.TransferRequest
import org.parsleymoor.clients.TransferResult
import org.parsleymoor.clients.WireJson
import org.parsleymoor.core.sha256Hex
import java.io.IOException

/** Copies blocks between an engine and a store. A block whose checksum or content is wrong is not taken. */
internal class BlockTransfers(vertx: Vertx, private val state: EngineState) {
    private val web = WebClient.create(vertx)

    suspend fun export(context: RoutingContext): Unit = transfer(context) { store, piece -> exportOne(store, piece) }

    suspend fun import(context: RoutingContext): Unit = transfer(context) { store, piece -> importOne(store, piece) }

    private suspend fun transfer(
        context: RoutingContext,
        one: suspend (HttpAddress, TransferPiece) -> TransferPiece?,
    ) {
        val transfer = context.readBody(TransferRequest.serializer()) ?: return
        val store = HttpAddress.parse(transfer.storeAddress)
        val copied = transfer.pieces.mapNotNull { tryOne(store, it, one) }
        val failed = transfer.pieces.map { it.piece } - copied.map { it.piece }.toSet()
        val result = TransferResult(copied, failed, copied.size * state.settings.bytesPerPiece)
        if (!context.response().closed()) context.answer(TransferResult.serializer(), result)
    }

    private suspend fun tryOne(
        store: HttpAddress,
        piece: TransferPiece,
        one: suspend (HttpAddress, TransferPiece) -> TransferPiece?,
    ): TransferPiece? = try {
        one(store, piece)
    } catch (_: IOException) {
        null
    } catch (_: VertxException) {
        null
    }

    private suspend fun exportOne(store: HttpAddress, piece: TransferPiece): TransferPiece? =
        if (piece.piece in state.cache) write(store, piece) else null

    private suspend fun write(store: HttpAddress, piece: TransferPiece): TransferPiece? {
        val content = contentOf(piece.piece)
        val answer = web.put(store.port, store.host, blockPath(piece))
            .putHeader(BlockHeaders.CHECKSUM, content.sha256Hex())
            .putHeader(BlockHeaders.DECLARED_BYTES, state.settings.bytesPerPiece.toString())
            .sendBuffer(Buffer.buffer(content)).coAwait()
        if (answer.statusCode() != HttpStatus.OK) return null
        return WireJson.decodeFromString(TransferPiece.serializer(), answer.bodyAsString())
    }

    private suspend fun importOne(store: HttpAddress, piece: TransferPiece): TransferPiece? {
        val answer = web.get(store.port, store.host, blockPath(piece)).send().coAwait()
        if (answer.statusCode() != HttpStatus.OK || !isWhole(answer, piece.piece)) return null
        state.cache.store(piece.piece, null, state.clock.nowMillis())
        return TransferPiece(piece.piece, state.cache.generationOf(piece.piece))
    }

    private fun isWhole(answer: HttpResponse<Buffer>, piece: String): Boolean {
        val bytes = answer.bodyAsBuffer()?.bytes ?: ByteArray(0)
        return bytes.sha256Hex() == answer.getHeader(BlockHeaders.CHECKSUM) && bytes.contentEquals(contentOf(piece))
    }

    private fun blockPath(piece: TransferPiece) = "/v1/blocks/${piece.piece}?generation=${piece.generation}"

    private fun contentOf(piece: String): ByteArray = "block $piece".toByteArray()
}
