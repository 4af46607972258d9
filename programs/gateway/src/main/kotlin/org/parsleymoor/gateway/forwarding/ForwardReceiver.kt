package org.parsleymoor.gateway.forwarding

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.onFailure
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.collect
import kotlinx.coroutines.launch
import org.parsleymoor.clients.EndpointFailure
import org.parsleymoor.clients.EngineClient
import org.parsleymoor.clients.EngineEvent
import org.parsleymoor.clients.GenerateRequest
import org.parsleymoor.context.ContextScope
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.FailureException
import org.parsleymoor.peering.Execution
import org.parsleymoor.peering.ForwardedCompletion
import org.parsleymoor.peering.PeerExchange
import org.parsleymoor.peering.PeerFailure
import org.parsleymoor.peering.PeerMessage
import org.parsleymoor.peering.PieceTextCache
import org.parsleymoor.peering.TextHash
import org.parsleymoor.peering.refuse
import java.io.ByteArrayOutputStream

/**
 * Runs completions that gateways of other regions forward. [engineFor] returns the client of an endpoint that may get
 * new work now, or null. Texts of pieces stay in [texts] for later requests.
 */
internal class ForwardReceiver(
    private val texts: PieceTextCache,
    private val engineFor: (EndpointId) -> EngineClient?,
) {
    /** Serves one exchange; suspends until the answer has been sent or the sender has given up. */
    suspend fun serve(exchange: PeerExchange, forward: PeerMessage.Forward) {
        val engine = engineFor(forward.endpoint)
        if (engine == null) {
            exchange.refuse("FULL", "endpoint ${forward.endpoint} takes no new work")
            return
        }
        val prompt = assemble(exchange, forward) ?: return
        coroutineScope {
            val answering = launch { answer(exchange, engine, request(forward.completion, prompt)) }
            val listening = launch {
                awaitEnd(exchange)
                answering.cancel()
            }
            answering.join()
            listening.cancel()
        }
    }

    private suspend fun assemble(exchange: PeerExchange, forward: PeerMessage.Forward): AssembledPrompt? {
        forward.inline.forEach { texts.put(it) }
        val wanted = TextHash.split(forward.completion.textPieces)
        val found = wanted.distinct().mapNotNull { hash -> texts[hash]?.let { hash to it } }.toMap()
        val fetched = fetch(exchange, wanted.distinct() - found.keys) ?: return null
        val prompt = join(forward.completion, wanted.map { found[it] ?: fetched[it] })
        if (prompt == null) {
            exchange.refuse("BAD_REQUEST", "the texts of the prompt's pieces do not match their hashes")
        }
        return prompt
    }

    /** Returns the [missing] texts, or null when the sender has given up. */
    private suspend fun fetch(exchange: PeerExchange, missing: List<TextHash>): Map<TextHash, ByteArray>? {
        if (missing.isEmpty()) return emptyMap()
        exchange.send(PeerMessage.PiecesWanted(exchange.number, TextHash.join(missing)))
        val delivered = exchange.receive().get() as? PeerMessage.Pieces
        delivered?.pieces?.forEach { texts.put(it) }
        return delivered?.pieces?.associate { it.hash to it.text }
    }

    /** Returns the prompt with its context pieces, or null when a text is missing or is not the one that was meant. */
    private fun join(completion: ForwardedCompletion, pieceTexts: List<ByteArray?>): AssembledPrompt? {
        val prompt = ByteArrayOutputStream()
        pieceTexts.forEach { prompt.writeBytes(it ?: return null) }
        prompt.writeBytes(completion.tail)
        val scope = ContextScope(completion.organisation, completion.model, completion.version, completion.adapter)
        val pieces = PromptPieces.contextPieces(scope, prompt.toByteArray())
        val matches = pieces.lastOrNull().orEmpty() == completion.contextHash
        return if (matches) AssembledPrompt(prompt.toString(Charsets.UTF_8), pieces) else null
    }

    private suspend fun answer(exchange: PeerExchange, engine: EngineClient, request: GenerateRequest) {
        try {
            engine.generate(request).collect { event -> exchange.send(event.toMessage(exchange.number)).orStop() }
        } catch (cause: FailureException) {
            val failure = cause.failure as? EndpointFailure ?: throw cause
            exchange.refuse(failure)
        }
    }

    private suspend fun awaitEnd(exchange: PeerExchange) {
        var open = true
        while (open) {
            val message = exchange.receive().get()
            open = message != null && message !is PeerMessage.Cancel
        }
    }

    private fun request(completion: ForwardedCompletion, prompt: AssembledPrompt) = GenerateRequest(
        request = completion.request,
        attempt = completion.attempt,
        organisation = completion.organisation,
        model = completion.model,
        version = completion.version,
        adapter = completion.adapter,
        priority = completion.priority,
        prompt = prompt.text,
        pieces = prompt.contextPieces,
        maximumTokens = completion.maximumTokens,
        resumeAfterTokens = completion.resumeAfterTokens,
        resumeText = completion.resumeText,
    )
}

/** A prompt as the sender had it and the hashes of its context pieces. */
private class AssembledPrompt(val text: String, val contextPieces: List<String>)

private fun EngineEvent.toMessage(exchange: Long): PeerMessage.ExchangeMessage = when (this) {
    is EngineEvent.Started ->
        PeerMessage.Started(exchange, startCount, version, cachedPieces, recomputedPieces)
    is EngineEvent.Token -> PeerMessage.Chunk(exchange, sequence, text)
    is EngineEvent.Final -> PeerMessage.Finished(exchange, tokens, reason)
}

private suspend fun PeerExchange.refuse(failure: EndpointFailure): Result<Unit, PeerFailure> = when (failure) {
    is EndpointFailure.Refused ->
        refuse(failure.refusal.reason.name, failure.refusal.detail, retryAfterMillis = failure.refusal.retryAfterMillis)
    is EndpointFailure.NotConnected -> refuse("FULL", failure.message)
    is EndpointFailure.Broken, is EndpointFailure.Silent, is EndpointFailure.Malformed ->
        refuse("BROKEN", failure.message, Execution.UNKNOWN)
}

/** Ends the answer when the sender's connection is gone; the engine's stream is closed with it. */
private fun Result<Unit, PeerFailure>.orStop() {
    onFailure { throw FailureException(EndpointFailure.Broken("peer", it.message)) }
}
