package org.parsleymoor.gateway.control

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.mapBoth
import io.github.oshai.kotlinlogging.KotlinLogging
import io.opentelemetry.api.trace.Span
import kotlinx.coroutines.withTimeoutOrNull
import org.parsleymoor.core.Clock
import org.parsleymoor.core.Incarnation
import org.parsleymoor.execution.atmostonce.ExecutionAnswer
import org.parsleymoor.execution.atmostonce.NotRunReason
import org.parsleymoor.execution.atmostonce.ServiceResponse
import org.parsleymoor.execution.atmostonce.Ticket
import org.parsleymoor.execution.atmostonce.UnknownReason
import org.parsleymoor.gateway.operations.Tracing
import org.parsleymoor.gateway.serving.AtMostOnceCall
import org.parsleymoor.gateway.serving.ForwardResult
import org.parsleymoor.gateway.serving.PeerCallForwarder
import org.parsleymoor.peering.BodyParts
import org.parsleymoor.peering.Execution
import org.parsleymoor.peering.ForwardedCall
import org.parsleymoor.peering.ForwardedHeader
import org.parsleymoor.peering.PeerExchange
import org.parsleymoor.peering.PeerFailure
import org.parsleymoor.peering.PeerLink
import org.parsleymoor.peering.PeerMessage
import org.parsleymoor.peering.receiveRemainingParts
import org.parsleymoor.peering.sendRemainingParts

/**
 * Forwards keyed calls to the process that may execute them. Once the opening frame is queued, a lost connection or a
 * passed deadline makes the outcome unknown, and the call is never sent again.
 */
internal class CallForwarder(
    private val directory: () -> PeerDirectory,
    private val clock: Clock,
    private val tracing: Tracing,
) : PeerCallForwarder {
    override suspend fun toIssuer(ticket: Ticket, call: AtMostOnceCall): ForwardResult =
        toProcess(ticket.issuer, call) { number, message ->
            PeerMessage.ExecuteTicket(number, ticket.toString(), message)
        }

    override suspend fun toClaimer(claimer: Incarnation, call: AtMostOnceCall): ForwardResult =
        toProcess(claimer, call) { number, message ->
            PeerMessage.ExecuteClaim(number, call.keyed.key, message, claimed = true)
        }

    override suspend fun toOwner(shard: Int, call: AtMostOnceCall): ForwardResult {
        val owner = directory().ownerOf("claims.$shard") ?: return ForwardResult.NotSent
        return directory().connect(owner).mapBoth(
            { send(it, call) { number, message -> PeerMessage.ExecuteClaim(number, call.keyed.key, message) } },
            { toNotSent(call, it) },
        )
    }

    private suspend fun toProcess(
        process: Incarnation,
        call: AtMostOnceCall,
        opening: (Long, ForwardedCall) -> PeerMessage.ExchangeMessage,
    ): ForwardResult = when (val connection = directory().connect(process)) {
        is ConnectionResult.Connected -> send(connection.link, call, opening)
        is ConnectionResult.Unreachable -> toNotSent(call, connection.failure)
        is ConnectionResult.Gone -> ForwardResult.Gone
    }

    private suspend fun send(
        link: PeerLink,
        call: AtMostOnceCall,
        opening: (Long, ForwardedCall) -> PeerMessage.ExchangeMessage,
    ): ForwardResult {
        val remaining = call.groupCall.deadlineMillis - clock.nowMillis()
        if (remaining <= 0) return ForwardResult.Answered(ExecutionAnswer.NotRun(NotRunReason.DEADLINE_PASSED))
        val span = tracing.hop("forward call", link.remote.incarnation.instance.value, call.groupCall.span)
        try {
            val message = call.toMessage(remaining, span)
            return link.open { opening(it, message) }.mapBoth(
                { exchange -> exchange.use { exchangeCall(it, call.groupCall.serviceCall.body, remaining) } },
                { toNotSent(call, it) },
            )
        } finally {
            span.end()
        }
    }

    /**
     * Sends the rest of [body] and receives the answer. A peer that is shutting down refuses a call before it looks at
     * the key, so that call counts as not sent.
     */
    private suspend fun exchangeCall(exchange: PeerExchange, body: ByteArray, remainingMillis: Long): ForwardResult {
        val message = withTimeoutOrNull(remainingMillis + ANSWER_TIMEOUT_MILLIS) {
            exchange.sendRemainingParts(body)
            exchange.receive().getOrElse { null }
        }
        val answer = when (message) {
            is PeerMessage.ExecutionAnswer -> receiveResponse(exchange, message)
            is PeerMessage.Refused -> answerOf(message)
            else -> ExecutionAnswer.Unknown(UnknownReason.NO_ANSWER_FROM_PEER)
        }
        val stopping = message is PeerMessage.Refused && message.type == CallReceiver.STOPPING
        return if (stopping) ForwardResult.NotSent else ForwardResult.Answered(answer)
    }

    private suspend fun receiveResponse(exchange: PeerExchange, message: PeerMessage.ExecutionAnswer): ExecutionAnswer {
        val answer = message.answer
        val body: Result<ByteArray, PeerFailure>? = withTimeoutOrNull(ANSWER_TIMEOUT_MILLIS) {
            exchange.receiveRemainingParts(answer.body, minOf(answer.bodyBytes, CallReceiver.MAXIMUM_ANSWER_BYTES))
        }
        return body?.mapBoth({ ServiceResponse(answer.status, answer.contentType, it) }, { null })
            ?.let { ExecutionAnswer.Response(it) } ?: ExecutionAnswer.Unknown(UnknownReason.NO_ANSWER_FROM_PEER)
    }

    // Reasons are sent by name. An unknown name, of a newer version, still says whether the call was executed.
    private fun answerOf(message: PeerMessage.Refused): ExecutionAnswer = when (message.execution) {
        Execution.NOT_RUN -> ExecutionAnswer.NotRun(
            NotRunReason.entries.firstOrNull { it.name == message.type } ?: NotRunReason.ENDPOINT_REFUSED,
        )
        Execution.RUN, Execution.UNKNOWN -> ExecutionAnswer.Unknown(
            UnknownReason.entries.firstOrNull { it.name == message.type } ?: UnknownReason.NO_ANSWER_FROM_PEER,
        )
    }

    private fun toNotSent(call: AtMostOnceCall, failure: PeerFailure): ForwardResult {
        logger.info { "request ${call.keyed.request} was not forwarded: ${failure.message}" }
        val tooLarge = failure is PeerFailure.FrameSize
        return if (tooLarge) {
            ForwardResult.Answered(ExecutionAnswer.NotRun(NotRunReason.CALL_TOO_LARGE))
        } else {
            ForwardResult.NotSent
        }
    }

    private fun AtMostOnceCall.toMessage(remainingMillis: Long, span: Span) = ForwardedCall(
        request = keyed.request,
        organisation = keyed.organisation,
        service = groupCall.group.name,
        method = groupCall.serviceCall.method,
        path = groupCall.serviceCall.path,
        headers = groupCall.serviceCall.headers.map { ForwardedHeader(it.name, it.value) },
        bodyBytes = groupCall.serviceCall.body.size,
        body = BodyParts.first(groupCall.serviceCall.body),
        remainingMillis = remainingMillis,
        traceParent = tracing.header(span),
    )

    private companion object {
        val logger = KotlinLogging.logger {}

        // The other gateway stops at the same deadline; this is the time allowed for its answer to arrive.
        const val ANSWER_TIMEOUT_MILLIS = 10_000L
    }
}
