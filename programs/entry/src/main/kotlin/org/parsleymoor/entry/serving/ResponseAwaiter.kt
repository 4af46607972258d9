package org.parsleymoor.entry.serving

import com.github.michaelbull.result.Result
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withTimeoutOrNull
import org.parsleymoor.core.Clock
import org.parsleymoor.entry.net.IncomingResponse
import org.parsleymoor.relay.http.MessageFailure

/** Waits for the response to [pending], which was just sent in [exchange]. */
internal class ResponseAwaiter(
    private val clock: Clock,
    private val pending: PendingRequest,
    private val exchange: EndpointExchange,
) {
    private val sentMillis = clock.nowMillis()

    /**
     * Waits up to [remainingMillis] for the response head, which [reader] reads; returns null if it has not arrived by
     * then. While the endpoint is silent, the request is sent to another one too, if there is one.
     */
    suspend fun await(
        reader: ResponseReader,
        remainingMillis: Long,
    ): Result<IncomingResponse, MessageFailure>? = coroutineScope {
        val head = async(start = CoroutineStart.UNDISPATCHED) { reader.head() }
        val silenceMillis = minOf(remainingMillis, pending.silenceTimeoutMillis(exchange.target))
        var response = withTimeoutOrNull(silenceMillis) { head.await() }
        val untilMillis = sentMillis + remainingMillis
        while (response == null && clock.nowMillis() < untilMillis) {
            if (!head.isCompleted && isSilent()) exchange.handover.onSilence()
            val waitMillis = minOf(SILENCE_POLL_MILLIS, untilMillis - clock.nowMillis())
            response = withTimeoutOrNull(waitMillis) { head.await() }
        }
        head.cancel()
        response
    }

    /** Engines answer slowly under load, but then they answer some request of this instance. */
    private fun isSilent(): Boolean =
        pending.prompt == null || exchange.target.endpoint.answeredMillis < sentMillis
}
