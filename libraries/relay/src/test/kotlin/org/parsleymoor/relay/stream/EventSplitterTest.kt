package org.parsleymoor.relay.stream

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan

class EventSplitterTest {
    private val splitter = EventSplitter()

    @Test
    fun `events that arrive in fragments are returned complete with their ids`() {
        val text = "id: 7\ndata: a\n\nid: 8\r\ndata: b\r\n\r\n"
        val events = text.flatMap { splitter.add(byteArrayOf(it.code.toByte())) }
        expectThat(events.map { it.id }).isEqualTo(listOf("7", "8"))
        expectThat(events.joinToString("") { String(it.bytes) }).isEqualTo(text)
        expectThat(splitter.pendingBytes).isEqualTo(0)
    }

    @Test
    fun `an incomplete event is not returned`() {
        expectThat(splitter.add("id: 1\ndata: hal".toByteArray())).isEmpty()
        expectThat(splitter.pendingBytes).isGreaterThan(0)
    }

    @Test
    fun `several events that arrive together are returned separately`() {
        expectThat(splitter.add("data: a\n\ndata: b\n\n".toByteArray())).hasSize(2)
    }
}
