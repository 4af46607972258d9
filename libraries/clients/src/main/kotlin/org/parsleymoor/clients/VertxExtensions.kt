package org.parsleymoor.clients

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.vertx.core.Future
import io.vertx.core.VertxException
import io.vertx.core.http.HttpClient
import io.vertx.core.http.HttpClientRequest
import io.vertx.kotlin.coroutines.coAwait
import java.io.IOException
import kotlin.coroutines.cancellation.CancellationException

/** Awaits the future; an I/O or Vert.x error becomes a [failure], which gets the text of the error. */
internal suspend fun <T> Future<T>.awaitResult(failure: (String) -> EndpointFailure): Result<T, EndpointFailure> = try {
    Ok(coAwait())
} catch (cause: IOException) {
    Err(failure(cause.toString()))
} catch (cause: VertxException) {
    Err(failure(cause.toString()))
}

/** Opens a request to [address]; a client that is already closed yields [EndpointFailure.NotConnected]. */
internal suspend fun HttpClient.open(
    outgoing: OutgoingRequest,
    address: HttpAddress,
): Result<HttpClientRequest, EndpointFailure> = try {
    request(outgoing.optionsFor(address)).awaitResult { EndpointFailure.NotConnected(address.text, it) }
} catch (cause: CancellationException) {
    throw cause
} catch (cause: IllegalStateException) {
    Err(EndpointFailure.NotConnected(address.text, cause.toString()))
}
