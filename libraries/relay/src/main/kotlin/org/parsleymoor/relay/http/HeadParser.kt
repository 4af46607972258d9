package org.parsleymoor.relay.http

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.map

/** Parses the head of a request, including its final empty line. */
public fun parseRequestHead(head: ByteArray): Result<RequestHead, MessageFailure> {
    val lines = headLines(head)
    val parts = lines.first().split(' ')
    val minor = parts.lastOrNull()?.let(::minorVersion)
    val wellFormed = parts.size == START_LINE_PARTS && isToken(parts[0]) && isTarget(parts[1])
    if (minor == null || !wellFormed) return Err(MessageFailure.MALFORMED_START_LINE)
    return parseFields(lines.drop(1)).andThen { headers ->
        val request = RequestHead(parts[0], parts[1], headers, minor)
        if (minor == 1 && headers.all("Host").size != 1) Err(MessageFailure.MISSING_HOST) else Ok(request)
    }
}

/** Parses the head of a response, including its final empty line. */
public fun parseResponseHead(head: ByteArray): Result<ResponseHead, MessageFailure> {
    val lines = headLines(head)
    val parts = lines.first().split(' ', limit = START_LINE_PARTS)
    val minor = minorVersion(parts[0])
    val status = parts.getOrNull(1)?.takeIf { it.length == STATUS_DIGITS }?.toIntOrNull()
    if (minor == null || status == null || status !in Statuses.ALL) return Err(MessageFailure.MALFORMED_START_LINE)
    return parseFields(lines.drop(1)).map { ResponseHead(status, parts.getOrElse(2) { "" }, it, minor) }
}

/** Returns how the body of this request is framed, or a failure when that is ambiguous (RFC 9112, 6.3). */
public fun RequestHead.framing(): Result<BodyFraming, MessageFailure> =
    declaredFraming(headers).map { it ?: BodyFraming.None }

/** Returns how the body of this response to a [method] request is framed, or a failure when that is ambiguous. */
public fun ResponseHead.framing(method: String): Result<BodyFraming, MessageFailure> =
    if (method == "HEAD" || isInterim || status in Statuses.WITHOUT_BODY) {
        Ok(BodyFraming.None)
    } else {
        declaredFraming(headers).map { it ?: BodyFraming.UntilClose }
    }

private fun declaredFraming(headers: HeaderFields): Result<BodyFraming?, MessageFailure> {
    val lengths = headers.all("Content-Length")
    val codings = headers.all("Transfer-Encoding")
    return when {
        lengths.isEmpty() && codings.isEmpty() -> Ok(null)
        lengths.isNotEmpty() && codings.isNotEmpty() -> Err(MessageFailure.AMBIGUOUS_LENGTH)
        lengths.isNotEmpty() -> contentLength(lengths)
        codings.size == 1 && codings.single().trim().equals("chunked", ignoreCase = true) -> Ok(BodyFraming.Chunked)
        else -> Err(MessageFailure.UNKNOWN_TRANSFER_CODING)
    }
}

private fun contentLength(values: List<String>): Result<BodyFraming, MessageFailure> {
    val digits = values.singleOrNull()?.takeIf { it.isNotEmpty() && it.all(Char::isAsciiDigit) }
    val bytes = digits?.toLongOrNull() ?: return Err(MessageFailure.AMBIGUOUS_LENGTH)
    return Ok(BodyFraming.Length(bytes))
}

private fun headLines(head: ByteArray): List<String> {
    val text = String(head, Charsets.ISO_8859_1)
    return text.removeSuffix("\r\n\r\n").split("\r\n")
}

private fun parseFields(lines: List<String>): Result<HeaderFields, MessageFailure> {
    val fields = lines.map { line ->
        val colon = line.indexOf(':')
        val name = if (colon > 0) line.substring(0, colon) else ""
        val value = line.substring(colon + 1).trim(' ', '\t')
        if (!isToken(name) || value.any { it in "\r\n\u0000" }) return Err(MessageFailure.MALFORMED_HEADER)
        HeaderField(name, value)
    }
    return Ok(HeaderFields(fields))
}

private fun minorVersion(text: String): Int? = when (text) {
    "HTTP/1.1" -> 1
    "HTTP/1.0" -> 0
    else -> null
}

private const val START_LINE_PARTS = 3
private const val STATUS_DIGITS = 3

private object Statuses {
    const val LOWEST = 100
    const val HIGHEST = 599
    const val NO_CONTENT = 204
    const val NOT_MODIFIED = 304
    val ALL = LOWEST..HIGHEST
    val WITHOUT_BODY = setOf(NO_CONTENT, NOT_MODIFIED)
}
