package org.parsleymoor.gateway.forwarding

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.FlowCollector
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.parsleymoor.clients.EndpointFailure
import org.parsleymoor.clients.EngineClient
import org.parsleymoor.clients.EngineEvent
import org.parsleymoor.clients.EngineRefusal
import org.parsleymoor.clients.EngineRefusalReason
import org.parsleymoor.clients.GenerateRequest
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.FailureException
import org.parsleymoor.peering.Execution
import org.parsleymoor.peering.PeerExchange
import org.parsleymoor.peering.PeerFailure
import org.parsleymoor.peering.PeerLink
import org.parsleymoor.peering.PeerMessage
import org.parsleymoor.peering.TextHash

/**
 * An engine in another region, reached through a gateway there. Only [generate] goes through the peer: it sends the
 * pieces of the prompt that the peer has not seen and names the others by hash. All other calls go to [direct].
 */
internal class ForwardingEngineClient(
    private val endpoint: EndpointId,
    private val direct: EngineClient,
    private val sentTexts: SentTexts,
    private val meter: LinkMeter,
    private val connect: suspend () -> Result<PeerLink, PeerFailure>,
) : EngineClient by direct {
    override fun generate(request: GenerateRequest, silenceMillis: Long): Flow<EngineEvent> = flow {
        val link = connect().getOrElse { throw notConnected(it) }
        val prompt = PromptPieces.of(request)
        val new = sentTexts.recordAndSelectNew(link.remote.incarnation, prompt.textHashes)
        val inline = prompt.texts(new)
        meter.send(request.organisation, LinkPurpose.PROMPT_TEXT, prompt.bytesOnLink(inline))
        val exchange = link.open { PeerMessage.Forward(it, endpoint, prompt.completion(), inline) }
            .getOrElse { throw notConnected(it) }
        ForwardedStream(exchange, request, prompt, silenceMillis).relay(this)
    }

    private fun notConnected(failure: PeerFailure) =
        FailureException(EndpointFailure.NotConnected(endpoint.value, failure.message))

    /** The answer of one exchange as engine events. */
    private inner class ForwardedStream(
        private val exchange: PeerExchange,
        private val request: GenerateRequest,
        private val prompt: PromptPieces,
        private val silenceMillis: Long,
    ) {
        suspend fun relay(collector: FlowCollector<EngineEvent>) {
            var ended = false
            try {
                while (!ended) ended = take(next(), collector)
            } finally {
                if (!ended) withContext(NonCancellable) { exchange.send(PeerMessage.Cancel(exchange.number)) }
                exchange.close()
            }
        }

        private suspend fun next(): PeerMessage.ExchangeMessage {
            val received = withTimeoutOrNull(silenceMillis) { exchange.receive() }
                ?: throw FailureException(EndpointFailure.Silent(endpoint.value, silenceMillis))
            return received.getOrElse { throw broken(it.message) }
        }

        /** Returns whether [message] ends the stream. */
        private suspend fun take(message: PeerMessage.ExchangeMessage, collector: FlowCollector<EngineEvent>): Boolean {
            when (message) {
                is PeerMessage.PiecesWanted -> sendTexts(TextHash.split(message.hashes).toSet())
                is PeerMessage.Started -> collector.emit(message.toEvent())
                is PeerMessage.Chunk ->
                    collector.emit(EngineEvent.Token(request.attempt, message.sequence, message.text))
                is PeerMessage.Finished ->
                    collector.emit(EngineEvent.Final(request.attempt, message.tokens, message.reason))
                is PeerMessage.Refused -> throw refusal(message)
                is PeerMessage.Forward, is PeerMessage.Pieces, is PeerMessage.Cancel, is PeerMessage.ExecuteTicket,
                is PeerMessage.ExecuteClaim, is PeerMessage.BodyPart, is PeerMessage.ExecutionAnswer,
                -> throw broken("expected a part of the answer, found ${message::class.simpleName}")
            }
            return message is PeerMessage.Finished
        }

        private suspend fun sendTexts(hashes: Set<TextHash>) {
            val pieces = prompt.texts(hashes)
            meter.send(request.organisation, LinkPurpose.PROMPT_TEXT, pieces.sumOf { it.text.size.toLong() })
            exchange.send(PeerMessage.Pieces(exchange.number, pieces))
        }

        private fun PeerMessage.Started.toEvent() =
            EngineEvent.Started(request.attempt, startCount, version, cachedPieces, recomputedPieces)

        private fun refusal(message: PeerMessage.Refused): FailureException = when (message.execution) {
            Execution.NOT_RUN -> FailureException(
                EndpointFailure.Refused(
                    endpoint.value,
                    EngineRefusal(reasonOf(message.type), message.detail, message.retryAfterMillis),
                ),
            )
            Execution.RUN, Execution.UNKNOWN -> broken(message.detail)
        }

        private fun broken(detail: String) = FailureException(EndpointFailure.Broken(endpoint.value, detail))
    }
}

/** Reasons travel by name; one that this version does not know counts as a full endpoint, which is tried elsewhere. */
private fun reasonOf(type: String): EngineRefusalReason =
    EngineRefusalReason.entries.firstOrNull { it.name == type } ?: EngineRefusalReason.FULL
