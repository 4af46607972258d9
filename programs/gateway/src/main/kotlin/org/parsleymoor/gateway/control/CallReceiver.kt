package org.parsleymoor.gateway.control

import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.onFailure
import io.vertx.core.MultiMap
import org.parsleymoor.clients.HeaderField
import org.parsleymoor.clients.ServiceCall
import org.parsleymoor.execution.atmostonce.ExecutionAnswer
import org.parsleymoor.execution.atmostonce.NotRunReason
import org.parsleymoor.execution.atmostonce.ServiceResponse
import org.parsleymoor.execution.atmostonce.UnknownReason
import org.parsleymoor.gateway.operations.WorkCount
import org.parsleymoor.gateway.serving.AtMostOnceCallFactory
import org.parsleymoor.gateway.serving.AtMostOnceExecutor
import org.parsleymoor.gateway.serving.CallOrigin
import org.parsleymoor.gateway.serving.ServiceGroupCall
import org.parsleymoor.gateway.serving.ServingDependencies
import org.parsleymoor.peering.BodyParts
import org.parsleymoor.peering.Execution
import org.parsleymoor.peering.ForwardedAnswer
import org.parsleymoor.peering.ForwardedCall
import org.parsleymoor.peering.PeerExchange
import org.parsleymoor.peering.PeerMessage
import org.parsleymoor.peering.receiveRemainingParts
import org.parsleymoor.peering.refuse
import org.parsleymoor.peering.sendRemainingParts

/** Executes keyed calls that other gateways forward, or answers them from retained outcomes. */
internal class CallReceiver(
    private val dependencies: ServingDependencies,
    private val work: WorkCount,
    private val callFactory: AtMostOnceCallFactory,
    private val atMostOnce: AtMostOnceExecutor,
) {
    /** Serves [opening] and suspends until it is answered; returns false when it does not open a keyed call. */
    suspend fun serve(exchange: PeerExchange, opening: PeerMessage.ExchangeMessage): Boolean {
        when (opening) {
            is PeerMessage.ExecuteTicket ->
                serve(exchange, IncomingCall(opening.ticket, opening.call, CallOrigin.PROCESS_FORWARD))
            is PeerMessage.ExecuteClaim -> {
                val origin = if (opening.claimed) CallOrigin.PROCESS_FORWARD else CallOrigin.SHARD_FORWARD
                serve(exchange, IncomingCall(opening.key, opening.call, origin))
            }
            else -> return false
        }
        return true
    }

    private suspend fun serve(exchange: PeerExchange, call: IncomingCall) {
        if (!work.begin()) {
            exchange.refuse(STOPPING, "this gateway is shutting down")
            return
        }
        try {
            val group = receive(exchange, call)
            if (group != null) {
                val once = callFactory.of(call.message.organisation, call.key, group)
                answer(exchange, atMostOnce.execute(once, call.origin))
                group.span.end()
            }
        } finally {
            work.end()
        }
    }

    /** Receives the complete call; returns null when it was refused or the sender disconnected. */
    private suspend fun receive(exchange: PeerExchange, call: IncomingCall): ServiceGroupCall? {
        val message = call.message
        val view = dependencies.configuration.current
        val group = view?.service(message.service)
        val limit = view?.configuration?.limits?.maximumBodyBytes ?: 0
        val refusal = when {
            group == null -> NotRunReason.ENDPOINT_REFUSED
            message.bodyBytes > limit -> NotRunReason.CALL_TOO_LARGE
            message.remainingMillis <= 0 -> NotRunReason.DEADLINE_PASSED
            else -> null
        }
        if (refusal != null) exchange.refuse(refusal.name, message.service)
        if (refusal != null || group == null) return null
        val deadline = dependencies.clock.nowMillis() + message.remainingMillis
        val body = exchange.receiveRemainingParts(message.body, message.bodyBytes)
            .onFailure { exchange.refuse(BAD_REQUEST, it.message) }.getOrElse { null }
        return body?.let { ServiceGroupCall(message.request, group, message.toCall(it), deadline, span(message)) }
    }

    private suspend fun answer(exchange: PeerExchange, answer: ExecutionAnswer) {
        when (answer) {
            is ExecutionAnswer.Response -> respond(exchange, answer.response)
            is ExecutionAnswer.NotRun -> exchange.refuse(answer.reason.name, "")
            is ExecutionAnswer.Unknown -> exchange.refuse(answer.reason.name, "", Execution.UNKNOWN)
        }
    }

    private suspend fun respond(exchange: PeerExchange, response: ServiceResponse) {
        val body = response.body
        if (body.size > MAXIMUM_ANSWER_BYTES) {
            val detail = "expected at most $MAXIMUM_ANSWER_BYTES bytes, found ${body.size}"
            exchange.refuse(UnknownReason.RESPONSE_TOO_LARGE.name, detail, Execution.RUN)
        } else {
            val message = ForwardedAnswer(response.status, response.contentType, body.size, BodyParts.first(body))
            exchange.send(PeerMessage.ExecutionAnswer(exchange.number, message))
            exchange.sendRemainingParts(body)
        }
    }

    private fun span(message: ForwardedCall) = dependencies.tracing.request(
        "forwarded call",
        MultiMap.caseInsensitiveMultiMap().add("traceparent", message.traceParent),
    )

    private class IncomingCall(val key: String, val message: ForwardedCall, val origin: CallOrigin)

    companion object {
        /** Refusal by a gateway that is shutting down; the key has not been looked up. */
        const val STOPPING = "STOPPING"

        /** Larger responses are not forwarded, because both gateways buffer them in memory. */
        const val MAXIMUM_ANSWER_BYTES = 16_777_216
        private const val BAD_REQUEST = "BAD_REQUEST"
    }
}

private fun ForwardedCall.toCall(body: ByteArray) =
    ServiceCall(method, path, headers.map { HeaderField(it.name, it.value) }, body, repeatable = false)
