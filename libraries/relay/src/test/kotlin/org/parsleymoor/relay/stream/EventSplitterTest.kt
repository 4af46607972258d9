package org.parsleymoor.relay.stream

import com.sun.management.ThreadMXBean
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNull
import java.lang.management.ManagementFactory

class EventSplitterTest {
    private val splitter = EventSplitter()

    @Test
    fun `events that arrive in fragments are returned complete with their ids`() {
        val text = "id: 7\ndata: a\n\nid: 8\r\ndata: b\r\n\r\n"
        val batches = text.map { splitter.add(byteArrayOf(it.code.toByte())) }.filter { it.count > 0 }
        expectThat(batches.map { it.lastId }).isEqualTo(listOf("7", "8"))
        expectThat(batches.map { it.count }).isEqualTo(listOf(1, 1))
        expectThat(batches.joinToString("") { String(it.bytes) }).isEqualTo(text)
        expectThat(splitter.pendingBytes).isEqualTo(0)
    }

    @Test
    fun `an incomplete event is not returned`() {
        expectThat(splitter.add("id: 1\ndata: hal".toByteArray()).bytes.toList()).isEmpty()
        expectThat(splitter.pendingBytes).isGreaterThan(0)
    }

    @Test
    fun `several events that arrive together are counted separately`() {
        expectThat(splitter.add("data: a\n\ndata: b\n\n".toByteArray()).count).isEqualTo(2)
    }

    // Guards against events that arrive twice when a stream is resumed, also beside others in the same read.
    @Test
    fun `events that are not new are left out`() {
        val relayed = setOf("1", "3")
        val batch = splitter.add("id: 1\n\nid: 2\n\ndata: x\n\nid: 3\n\nid: 4".toByteArray()) { it !in relayed }
        expectThat(String(batch.bytes)).isEqualTo("id: 2\n\ndata: x\n\n")
        expectThat(batch.count).isEqualTo(2)
        expectThat(batch.lastId).isEqualTo("2")
        expectThat(String(splitter.add("2\n\n".toByteArray()).bytes)).isEqualTo("id: 42\n\n")
    }

    // Guards against a stream that begins, or goes on, although nothing but empty lines or comments arrived.
    @Test
    fun `empty lines and comments are no events and come with the first event`() {
        val blank = splitter.add("\n\r\n: a\n\n".toByteArray())
        expectThat(blank.count).isEqualTo(0)
        expectThat(blank.bytes.toList()).isEmpty()
        expectThat(splitter.bytesSinceEvent).isEqualTo(8)
        val first = splitter.add("id: 1\n\n\n".toByteArray())
        expectThat(String(first.bytes)).isEqualTo("\n\r\n: a\n\nid: 1\n\n\n")
        expectThat(first.count).isEqualTo(1)
        expectThat(splitter.bytesSinceEvent).isEqualTo(1)
    }

    @Test
    fun `comments between events are returned at once`() {
        splitter.add("id: 1\n\n".toByteArray())
        val batch = splitter.add(": still here\n\n".toByteArray())
        expectThat(String(batch.bytes)).isEqualTo(": still here\n\n")
        expectThat(batch.lastId).isNull()
    }

    // Guards against bytes that are lost at the end of a stream without any event.
    @Test
    fun `what is kept before the first event can be taken at the end`() {
        splitter.add(": a\n\n: b".toByteArray())
        expectThat(String(splitter.takeKept())).isEqualTo(": a\n\n")
        expectThat(splitter.pendingBytes).isEqualTo(3)
    }

    @Test
    fun `any division into reads returns the same bytes`() {
        val text = ": c\n\nid: 1\ndata: a\n\n\n: d\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\nevent: e\n\n"
        val whole = EventSplitter().add(text.toByteArray())
        for (size in 1..text.length) {
            val divided = EventSplitter()
            val batches = text.chunked(size).map { divided.add(it.toByteArray()) }
            expectThat(batches.joinToString("") { String(it.bytes) }).isEqualTo(text)
            expectThat(batches.sumOf { it.count }).isEqualTo(whole.count)
            expectThat(batches.mapNotNull { it.lastId }.last()).isEqualTo(whole.lastId)
        }
    }

    // Guards against work that grows with the square of what arrives: the parts of an event were joined again at each
    // read, and the events of a read one by one.
    @ParameterizedTest(name = "{0} in reads of {2} bytes")
    @CsvSource(
        "empty lines, '', 65536",
        "comments, ':', 65536",
        "smallest events, 'id:1', 65536",
        "events without id, 'data:', 65536",
        "ordinary events, 'id: 12345|data: a token or two', 65536",
        "ordinary events, 'id: 12345|data: a token or two', 100",
        "comments, ': a', 100",
    )
    fun `allocates a bounded number of bytes for each byte of blocks`(name: String, block: String, readBytes: Int) {
        val text = (block.replace('|', '\n') + if (block.isEmpty()) "\n" else "\n\n").toByteArray()
        val reads = List(STREAM_BYTES / readBytes) { read ->
            ByteArray(readBytes) {
                text[(read * readBytes + it) % text.size]
            }
        }
        expectThat(allocatedBytes { reads.forEach { splitter.add(it) } }).describedAs(name)
            .isLessThan(STREAM_BYTES * ALLOCATED_SHARE)
    }

    @ParameterizedTest
    @CsvSource("100", "1000", "65536")
    fun `allocates a bounded number of bytes for each byte of one event`(readBytes: Int) {
        val reads = List(STREAM_BYTES / readBytes) { ByteArray(readBytes) { 'x'.code.toByte() } }
        expectThat(allocatedBytes { reads.forEach { splitter.add(it) } }).isLessThan(STREAM_BYTES * ALLOCATED_SHARE)
    }

    private fun allocatedBytes(action: () -> Unit): Long {
        val threads = ManagementFactory.getThreadMXBean() as ThreadMXBean
        val thread = Thread.currentThread().id
        val before = threads.getThreadAllocatedBytes(thread)
        action()
        return threads.getThreadAllocatedBytes(thread) - before
    }

    private companion object {
        const val STREAM_BYTES = 1_048_576

        // The smallest event with an id has six bytes, and takes a few small objects.
        const val ALLOCATED_SHARE = 40L
    }
}
