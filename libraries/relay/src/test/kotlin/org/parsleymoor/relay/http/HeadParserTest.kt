package org.parsleymoor.relay.http

import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull

class HeadParserTest {
    @Test
    fun `preserves the target and the order of the fields`() {
        val head = parseRequestHead(
            "POST /a%2Fb?x=1 HTTP/1.1\r\nHost: h\r\nX-One:  1 \r\nx-one: 2\r\n\r\n".toByteArray()
        ).get()
        expectThat(head).isNotNull()
        expectThat(head?.target).isEqualTo("/a%2Fb?x=1")
        expectThat(head?.headers?.all("X-One")).isEqualTo(listOf("1", "2"))
    }

    // Each of these is ambiguous or malformed and could be used to smuggle a second request inside the first.
    @ParameterizedTest
    @ValueSource(
        strings = [
            "Content-Length: 5\r\nTransfer-Encoding: chunked",
            "Content-Length: 5\r\nContent-Length: 5",
            "Content-Length: 5, 5",
            "Content-Length: +5",
            "Content-Length: -1",
            "Content-Length:",
            "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
            "Transfer-Encoding: gzip, chunked",
            "Transfer-Encoding: xchunked",
            "Content-Length : 5",
            " folded: 1",
            "no colon",
        ],
    )
    fun `rejects a request with ambiguous body framing`(fields: String) {
        val framing = parseRequestHead(
            "POST / HTTP/1.1\r\nHost: h\r\n$fields\r\n\r\n".toByteArray()
        ).andThen { it.framing() }
        expectThat(framing.getError()?.status).isEqualTo(HttpStatus.BAD_REQUEST)
    }

    @ParameterizedTest
    @ValueSource(strings = ["GET / HTTP/1.1\r\n\r\n", "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n"])
    fun `rejects a request without exactly one Host header`(head: String) {
        expectThat(parseRequestHead(head.toByteArray()).getError()).isEqualTo(MessageFailure.MISSING_HOST)
    }

    @ParameterizedTest
    @ValueSource(strings = ["GET /", "GET  / HTTP/1.1", "GET / HTTP/2.0", "G(T / HTTP/1.1", "GET /a b HTTP/1.1"])
    fun `rejects a malformed start line`(line: String) {
        expectThat(parseRequestHead("$line\r\nHost: h\r\n\r\n".toByteArray()).getError())
            .isEqualTo(MessageFailure.MALFORMED_START_LINE)
    }

    @Test
    fun `the body of a response without a length ends with its connection`() {
        val head = parseResponseHead("HTTP/1.1 200 OK\r\n\r\n".toByteArray())
        expectThat(head.andThen { it.framing("GET") }.get()).isEqualTo(BodyFraming.UntilClose)
    }

    @Test
    fun `a response to HEAD and a 204 response have no body`() {
        val ok = parseResponseHead("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n".toByteArray())
        val empty = parseResponseHead("HTTP/1.1 204 No Content\r\n\r\n".toByteArray())
        expectThat(ok.andThen { it.framing("HEAD") }.get()).isEqualTo(BodyFraming.None)
        expectThat(empty.andThen { it.framing("GET") }.get()).isEqualTo(BodyFraming.None)
    }
}
