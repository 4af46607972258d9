package org.parsleymoor.peering

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getOrThrow
import io.ktor.utils.io.ByteReadChannel
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import java.nio.ByteBuffer
import java.util.concurrent.atomic.AtomicReference

/** Frames with deeply nested values, read on a thread with 256 KB of stack. */
class DeepFrameTest {
    private val codec = FrameCodec(limitBytes = 1_000_000)
    private val message = PeerMessage.ObjectsOffered("ENDPOINTS", 1, listOf(OfferedObject("a", 1, "{}")))

    // Otherwise one frame overflows the stack of the thread that all connections share.
    @ParameterizedTest
    @ValueSource(ints = [10, 1_000, 100_000])
    fun `a deeply nested unknown field does not overflow the stack`(depth: Int) {
        val opening = listOf(byteArrayOf(ARRAY_OF_ONE), byteArrayOf(INDEFINITE_ARRAY), byteArrayOf(TAG))
        opening.forEach { open ->
            val ends = if (open.single() == INDEFINITE_ARRAY) ByteArray(depth) { BREAK } else ByteArray(0)
            val deep = ByteArray(depth) { open.single() } + byteArrayOf(ONE) + ends
            val frame = codec.encode(message).getOrThrow { AssertionError(it.message) }
            val end = frame.size - 2
            val changed = frame.copyOf(end) + byteArrayOf(NAME_OF_ONE, 'x'.code.toByte()) + deep +
                frame.copyOfRange(end, frame.size)
            val outcome = onSmallStack { codec.read(channel(changed)) }
            // Either outcome is a typed one; nested arrays are valid and skipped.
            if (open.single() == ARRAY_OF_ONE) expectThat(outcome.get()).isEqualTo(message)
        }
    }

    @ParameterizedTest
    @ValueSource(ints = [100_000])
    fun `an object with deeply nested content is delivered as text`(depth: Int) {
        val deep = message.copy(objects = listOf(OfferedObject("a", 1, "[".repeat(depth))))
        val frame = codec.encode(deep).getOrThrow { AssertionError(it.message) }
        expectThat(onSmallStack { codec.read(channel(frame)) }.get()).isNotNull().isEqualTo(deep)
    }

    private fun channel(frame: ByteArray) =
        ByteReadChannel(ByteBuffer.allocate(Int.SIZE_BYTES).putInt(frame.size).array() + frame)

    private fun onSmallStack(
        read: suspend () -> Result<PeerMessage, PeerFailure>,
    ): Result<PeerMessage, PeerFailure> {
        val outcome = AtomicReference<Result<PeerMessage, PeerFailure>>()
        val failure = AtomicReference<Throwable>()
        val thread = Thread(null, { outcome.set(runBlocking { read() }) }, "small stack", SMALL_STACK_BYTES)
        thread.setUncaughtExceptionHandler { _, cause -> failure.set(cause) }
        thread.start()
        thread.join()
        failure.get()?.let { throw it }
        return outcome.get()
    }

    private companion object {
        const val SMALL_STACK_BYTES = 256L * 1_024

        // Initial bytes of values in CBOR.
        const val ONE: Byte = 0x01
        const val NAME_OF_ONE: Byte = 0x61
        const val ARRAY_OF_ONE: Byte = 0x81.toByte()
        const val INDEFINITE_ARRAY: Byte = 0x9f.toByte()
        const val TAG: Byte = 0xc0.toByte()
        const val BREAK: Byte = 0xff.toByte()
    }
}
