package org.parsleymoor.peering

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrThrow
import com.sun.management.ThreadMXBean
import io.ktor.utils.io.ByteReadChannel
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import org.parsleymoor.core.EndpointId
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import strikt.assertions.isTrue
import java.lang.management.ManagementFactory
import java.nio.ByteBuffer

/** Frames of the greatest size. Guards against items of one byte that are decoded into many, which fill the heap. */
class LargeFrameTest {
    private val codec = FrameCodec(LIMIT_BYTES)

    @Test
    fun `items are counted by their heads, also within each other and when a string is cut off`() {
        val message: PeerMessage = contents(parts = 3)
        val frame = codec.encode(message).getOrThrow { AssertionError(it.message) }
        val items = (1..100).first { hasAtMostCborItems(frame, it) }
        expectThat(items).isGreaterThan(3 * ITEMS_OF_PART)
        expectThat(hasAtMostCborItems(frame, items - 1)).isFalse()
        expectThat(hasAtMostCborItems(byteArrayOf(TEXT_OF_EIGHT_LENGTH, 0, 0, 0, 0, 0, 0, 0, 2, 0, 0, 0), 2)).isTrue()
        expectThat(hasAtMostCborItems(byteArrayOf(TEXT_OF_EIGHT_LENGTH, -1, -1, -1, -1, -1, -1, -1, -1), 1)).isTrue()
    }

    @Test
    fun `a frame of many small items is refused at a bounded cost`() {
        val small = PeerMessage.CacheDigest(source(), 1, 1, whole = true, stored = List(LIMIT_BYTES - SPARE) { 1L })
        val frame = codec.encode(small).getOrThrow { AssertionError(it.message) }
        val before = allocatedBytes()
        val failure = runBlocking { codec.read(channel(frame)) }.getError()
        expectThat(failure).isNotNull().isA<PeerFailure.UndecodableFrame>()
        expectThat(allocatedBytes() - before).isLessThan(8L * frame.size)
    }

    @Test
    fun `the contents of the largest cache are delivered`() {
        val largest = contents(parts = 86_000)
        val frame = codec.encode(largest).getOrThrow { AssertionError(it.message) }
        expectThat(runBlocking { codec.read(channel(frame)) }.get()).isEqualTo(largest)
    }

    private fun contents(parts: Int) = PeerMessage.CacheContentsOffered(
        CacheStoreDigest(
            store = "10.0.0.1:80",
            epoch = 1,
            from = 0,
            to = 9,
            namespaces = listOf(
                NamespaceDigest("shared/m/1", List(parts) { CachedPartDigest("%08x".format(it), 16, true) })
            ),
            lost = false,
        ),
    )

    private fun source() = EndpointId("e")

    private fun channel(frame: ByteArray) =
        ByteReadChannel(ByteBuffer.allocate(Int.SIZE_BYTES).putInt(frame.size).array() + frame)

    private fun allocatedBytes(): Long =
        (ManagementFactory.getThreadMXBean() as ThreadMXBean).getThreadAllocatedBytes(Thread.currentThread().id)

    private companion object {
        const val LIMIT_BYTES = 4_194_304
        const val SPARE = 1_000
        const val ITEMS_OF_PART = 4
        const val TEXT_OF_EIGHT_LENGTH: Byte = 0x7B
    }
}
