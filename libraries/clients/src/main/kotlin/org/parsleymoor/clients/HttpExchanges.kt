package org.parsleymoor.clients

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import io.vertx.core.MultiMap
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClient
import io.vertx.core.http.HttpClientRequest
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.RequestOptions
import kotlinx.coroutines.withTimeoutOrNull
import java.net.HttpURLConnection

/** A complete response of any status. */
internal class BufferedResponse(val status: Int, val headers: MultiMap, val body: Buffer) {
    val text: String get() = body.toString()
}

/** A request to be sent. [path] starts with a slash and includes the query. */
internal class OutgoingRequest(
    val method: HttpMethod,
    val path: String,
    val body: Buffer? = null,
    val headers: MultiMap = MultiMap.caseInsensitiveMultiMap(),
) {
    fun optionsFor(address: HttpAddress): RequestOptions = RequestOptions().setHost(address.host).setPort(address.port)
        .setMethod(method).setURI(path).setHeaders(headers)
}

/**
 * Sends requests to one address and buffers the responses. Opening the connection and the exchange on it each time out
 * after [timeoutMillis].
 */
internal class HttpExchanges(
    private val http: HttpClient,
    private val address: HttpAddress,
    private val timeoutMillis: Long,
) {
    /**
     * Sends [outgoing]. A timeout while connecting is [EndpointFailure.NotConnected]; a timeout after that is
     * [EndpointFailure.Silent] and resets the request.
     */
    suspend fun send(outgoing: OutgoingRequest): Result<BufferedResponse, EndpointFailure> {
        val opened = withTimeoutOrNull(timeoutMillis) {
            http.open(outgoing, address)
        } ?: Err(EndpointFailure.NotConnected(address.text, "no connection within $timeoutMillis ms"))
        return opened.andThen { exchange(it, outgoing.body) }
    }

    private suspend fun exchange(request: HttpClientRequest, body: Buffer?): Result<BufferedResponse, EndpointFailure> {
        var finished = false
        try {
            val outcome = withTimeoutOrNull(timeoutMillis) { execute(request, body) }
                ?: return Err(EndpointFailure.Silent(address.text, timeoutMillis))
            finished = true
            return outcome
        } finally {
            if (!finished) request.reset()
        }
    }

    private suspend fun execute(request: HttpClientRequest, body: Buffer?): Result<BufferedResponse, EndpointFailure> {
        // The body handler is registered on the connection's event loop before the request is sent. Registered later
        // from another thread, it could miss the first chunks.
        val buffered = request.response().compose { response ->
            response.body().map { BufferedResponse(response.statusCode(), response.headers(), it) }
        }
        if (body == null) request.send() else request.send(body)
        return buffered.awaitResult { EndpointFailure.Broken(address.text, it) }
    }
}

private val SUCCESS_STATUSES = HttpURLConnection.HTTP_OK until HttpURLConnection.HTTP_MULT_CHOICE

/** Returns the body of a successful response, or the failure that the response describes. */
internal fun BufferedResponse.successText(address: HttpAddress): Result<String, EndpointFailure> =
    if (status in SUCCESS_STATUSES) Ok(text) else Err(refusalOf(address, status, text))
