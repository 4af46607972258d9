package org.parsleymoor.entry

/** A request that [RelayHarness] routes, with further header [fields], each ended by a line break. */
internal fun relayRequest(fields: String = "", waitMillis: Long = 6_000): String =
    "POST /r/x HTTP/1.1\r\nHost: h\r\nId: 1\r\nWait: $waitMillis\r\nAuthorization: Key secret\r\n" + fields +
        "Connection: close\r\nContent-Length: 0\r\n\r\n"

/** The fields that make a request a prompt. */
internal const val PROMPT_FIELDS = "Model: m\r\nUsage: 10,10\r\nParts: a:10,b:10\r\n"

/** The head of a streamed response to [relayRequest]. */
internal const val STREAM_HEAD = "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s1\r\nContent-Type: text/event-stream\r\n" +
    "Transfer-Encoding: chunked\r\n\r\n"

/** The end of a streamed response. */
internal const val STREAM_END = "0\r\n\r\n"

/** A chunk with [text]. */
internal fun chunk(text: String): String = "${text.length.toString(16)}\r\n$text\r\n"

/** A chunk with event number [id]. */
internal fun event(id: Int, data: String): String = chunk("id: $id\ndata: $data\n\n")
