package org.parsleymoor.peering

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writeInt
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor

/**
 * Encodes and decodes frames: a four-byte length, at most [limitBytes], followed by a message in CBOR of at most
 * [limitItems] items.
 */
@OptIn(ExperimentalSerializationApi::class)
internal class FrameCodec(private val limitBytes: Int, private val limitItems: Int = MAX_ITEMS) {
    private val cbor = Cbor { ignoreUnknownKeys = true }

    fun encode(message: PeerMessage): Result<ByteArray, PeerFailure> {
        val bytes = cbor.encodeToByteArray(PeerMessage.serializer(), message)
        return if (bytes.size <= limitBytes) Ok(bytes) else Err(PeerFailure.FrameSize(bytes.size.toLong(), limitBytes))
    }

    suspend fun write(channel: ByteWriteChannel, frame: ByteArray) {
        channel.writeInt(frame.size)
        channel.writeByteArray(frame)
        channel.flush()
    }

    /** Suspends until a whole frame has arrived; throws [java.io.IOException] if the connection ends. */
    suspend fun read(channel: ByteReadChannel): Result<PeerMessage, PeerFailure> {
        val size = channel.readInt()
        if (size !in 1..limitBytes) return Err(PeerFailure.FrameSize(size.toUInt().toLong(), limitBytes))
        return decode(channel.readByteArray(size))
    }

    // Depending on where decoding stops, malformed input raises either of the two exceptions.
    private fun decode(bytes: ByteArray): Result<PeerMessage, PeerFailure> = try {
        require(hasAtMostCborItems(bytes, limitItems)) { "expected at most $limitItems items" }
        Ok(cbor.decodeFromByteArray(PeerMessage.serializer(), bytes))
    } catch (cause: SerializationException) {
        Err(PeerFailure.UndecodableFrame(bytes.size, cause.toString()))
    } catch (cause: IllegalArgumentException) {
        Err(PeerFailure.UndecodableFrame(bytes.size, cause.toString()))
    }

    private companion object {
        // The contents of the largest cache have four items for each of up to 100,000 parts.
        const val MAX_ITEMS = 524_288
    }
}
