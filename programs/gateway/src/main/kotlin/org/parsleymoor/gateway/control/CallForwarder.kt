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
 * Sends calls with a key to the process that may run them. Once the opening frame is queued, a lost connection or a
 * passed deadline makes the outcome unknown; the call is never sent a second time.
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
            { notSent(call, it) },
        )
    }

    private suspend fun toProcess(
        process: Incarnation,
        call: AtMostOnceCall,
        opening: (Long, ForwardedCall) -> PeerMessage.ExchangeMessage,
    ): ForwardResult = when (val reached = directory().connect(process)) {
        is Reached.Open -> send(reached.link, call, opening)
        is Reached.Unreachable -> notSent(call, reached.failure)
        is Reached.Gone -> ForwardResult.Gone
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
                { exchange -> exchange.use { answer(it, call.groupCall.serviceCall.body, remaining) } },
                { notSent(call, it) },
            )
        } finally {
            span.end()
        }
    }

    /** A peer that refused before it looked at the key leaves the call as if it had not been sent. */
    private suspend fun answer(exchange: PeerExchange, body: ByteArray, remainingMillis: Long): ForwardResult {
        val message = withTimeoutOrNull(remainingMillis + ANSWER_MILLIS) {
            exchange.sendRemainingParts(body)
            exchange.receive().getOrElse { null }
        }
        val answer = when (message) {
            is PeerMessage.ExecutionAnswer -> response(exchange, message)
            is PeerMessage.Refused -> refusal(message)
            else -> ExecutionAnswer.Unknown(UnknownReason.NO_ANSWER_FROM_PEER)
        }
        val stopping = message is PeerMessage.Refused && message.type == CallReceiver.STOPPING
        return if (stopping) ForwardResult.NotSent else ForwardResult.Answered(answer)
    }

    private suspend fun response(exchange: PeerExchange, message: PeerMessage.ExecutionAnswer): ExecutionAnswer {
        val answer = message.answer
        val body: Result<ByteArray, PeerFailure>? = withTimeoutOrNull(ANSWER_MILLIS) {
            exchange.receiveRemainingParts(answer.body, minOf(answer.bodyBytes, CallReceiver.MAXIMUM_ANSWER_BYTES))
        }
        return body?.mapBoth({ ServiceResponse(answer.status, answer.contentType, it) }, { null })
            ?.let { ExecutionAnswer.Response(it) } ?: ExecutionAnswer.Unknown(UnknownReason.NO_ANSWER_FROM_PEER)
    }

    // Reasons travel by name; one that this version does not know keeps its meaning for the caller.
    private fun refusal(message: PeerMessage.Refused): ExecutionAnswer = when (message.execution) {
        Execution.NOT_RUN -> ExecutionAnswer.NotRun(
            NotRunReason.entries.firstOrNull { it.name == message.type } ?: NotRunReason.ENDPOINT_REFUSED,
        )
        Execution.RUN, Execution.UNKNOWN -> ExecutionAnswer.Unknown(
            UnknownReason.entries.firstOrNull { it.name == message.type } ?: UnknownReason.NO_ANSWER_FROM_PEER,
        )
    }

    private fun notSent(call: AtMostOnceCall, failure: PeerFailure): ForwardResult {
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

        // The other gateway gives up at the deadline too; its answer needs this long to arrive.
        const val ANSWER_MILLIS = 10_000L
    }
}
