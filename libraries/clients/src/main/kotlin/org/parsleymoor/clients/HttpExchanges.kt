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

/** A whole answer of any status. */
internal class BufferedResponse(val status: Int, val headers: MultiMap, val body: Buffer) {
    val text: String get() = body.toString()
}

/** A request to be sent; [path] starts with a slash and holds the query. */
internal class OutgoingRequest(
    val method: HttpMethod,
    val path: String,
    val body: Buffer? = null,
    val headers: MultiMap = MultiMap.caseInsensitiveMultiMap(),
) {
    fun to(address: HttpAddress): RequestOptions = RequestOptions().setHost(address.host).setPort(address.port)
        .setMethod(method).setURI(path).setHeaders(headers)
}

/** Whole exchanges with one address; each ends within [timeoutMillis]. */
internal class HttpExchanges(
    private val http: HttpClient,
    private val address: HttpAddress,
    private val timeoutMillis: Long,
) {
    /**
     * Sends [outgoing]. A time-out before a connection is made is [EndpointFailure.NotConnected]; a later one closes
     * the connection and is [EndpointFailure.Silent].
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
            val answer = withTimeoutOrNull(timeoutMillis) { answer(request, body) }
                ?: return Err(EndpointFailure.Silent(address.text, timeoutMillis))
            finished = true
            return answer
        } finally {
            if (!finished) request.reset()
        }
    }

    private suspend fun answer(request: HttpClientRequest, body: Buffer?): Result<BufferedResponse, EndpointFailure> {
        // Asked for before the request is sent, the body is read on the connection's thread; asked for later, from
        // another thread, it may miss the chunks that came first.
        val answer = request.response().compose { response ->
            response.body().map { BufferedResponse(response.statusCode(), response.headers(), it) }
        }
        if (body == null) request.send() else request.send(body)
        return answer.awaitOr { EndpointFailure.Broken(address.text, it) }
    }
}

private val SUCCESS = HttpURLConnection.HTTP_OK until HttpURLConnection.HTTP_MULT_CHOICE

/** Returns the body of a successful answer, or the refusal that it carries. */
internal fun BufferedResponse.successText(address: HttpAddress): Result<String, EndpointFailure> =
    if (status in SUCCESS) Ok(text) else Err(refusalOf(address, status, text))
