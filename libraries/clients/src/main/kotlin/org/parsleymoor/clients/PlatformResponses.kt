package org.parsleymoor.clients

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.builtins.nullable
import java.net.URLEncoder

/** Returns the failure for a `409` response, whose body is the current object or null. */
internal fun <T> BufferedResponse.conflictFailure(expectedVersion: Long): Result<T, PlatformFailure> =
    decode(StoredObject.serializer().nullable)
        .andThen { Err(PlatformFailure.Conflict(expectedVersion, it)) }

/** Returns the failure for an unexpected status: server errors and rate limits are temporary, the rest is not. */
internal fun BufferedResponse.statusFailure(): PlatformFailure = when {
    status == PlatformStatusCode.TOO_MANY_REQUESTS -> PlatformFailure.Unavailable(
        "status ${PlatformStatusCode.TOO_MANY_REQUESTS}",
        mayHaveTakenEffect = false
    )
    status >= PlatformStatusCode.INTERNAL_SERVER_ERROR ->
        PlatformFailure.Unavailable("status $status", mayHaveTakenEffect = true)
    else -> PlatformFailure.Rejected("status ${PlatformStatusCode.OK}", "status $status: $text")
}

internal fun <T> BufferedResponse.decode(serializer: KSerializer<T>): Result<T, PlatformFailure> = try {
    Ok(WireJson.decodeFromString(serializer, text))
} catch (cause: SerializationException) {
    Err(PlatformFailure.Rejected(serializer.descriptor.serialName, cause.message ?: "a body that is not valid JSON"))
}

internal fun objectPath(kind: String, name: String): String = "/objects/${encoded(kind)}/${encoded(name)}"

/** Percent-encodes a path segment or query parameter; unlike [URLEncoder], a space becomes `%20`. */
internal fun encoded(text: String): String = URLEncoder.encode(text, Charsets.UTF_8).replace("+", "%20")
