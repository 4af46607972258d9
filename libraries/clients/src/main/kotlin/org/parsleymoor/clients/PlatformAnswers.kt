package org.parsleymoor.clients

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.builtins.nullable
import java.net.URLEncoder

/** Reads the current object from a conflict. */
internal fun <T> BufferedResponse.conflict(expectedVersion: Long): Result<T, PlatformFailure> =
    decode(StoredObject.serializer().nullable)
        .andThen { Err(PlatformFailure.Conflict(expectedVersion, it)) }

/** A server error or a rate limit passes; any other status means that the call breaks the protocol. */
internal fun BufferedResponse.unexpected(): PlatformFailure = when {
    status == PlatformStatusCode.TOO_MANY -> PlatformFailure.Unavailable(
        "status ${PlatformStatusCode.TOO_MANY}",
        mayHaveTakenEffect = false
    )
    status >= PlatformStatusCode.SERVER_ERROR ->
        PlatformFailure.Unavailable("status $status", mayHaveTakenEffect = true)
    else -> PlatformFailure.Rejected("status ${PlatformStatusCode.OK}", "status $status: $text")
}

/** Decodes the body. */
internal fun <T> BufferedResponse.decode(serializer: KSerializer<T>): Result<T, PlatformFailure> = try {
    Ok(WireJson.decodeFromString(serializer, text))
} catch (cause: SerializationException) {
    Err(PlatformFailure.Rejected(serializer.descriptor.serialName, cause.message ?: "an unreadable body"))
}

/** The path of an object. */
internal fun objectPath(kind: String, name: String): String = "/objects/${encoded(kind)}/${encoded(name)}"

/** Percent-encodes a path segment or parameter. */
internal fun encoded(text: String): String = URLEncoder.encode(text, Charsets.UTF_8).replace("+", "%20")
