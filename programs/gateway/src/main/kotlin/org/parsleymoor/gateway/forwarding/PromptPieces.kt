package org.parsleymoor.gateway.forwarding

import org.parsleymoor.clients.GenerateRequest
import org.parsleymoor.context.ContextScope
import org.parsleymoor.context.PromptHashes
import org.parsleymoor.core.OrganisationId
import org.parsleymoor.peering.ForwardedCompletion
import org.parsleymoor.peering.TextHash
import org.parsleymoor.peering.TextPiece
import java.security.MessageDigest

/** A prompt divided for the inter-region link: full pieces of text that are named by hash, and the rest. */
internal class PromptPieces private constructor(private val request: GenerateRequest, private val prompt: ByteArray) {
    private val pieceTexts = List(prompt.size / TEXT_PIECE_BYTES) {
        prompt.copyOfRange(it * TEXT_PIECE_BYTES, (it + 1) * TEXT_PIECE_BYTES)
    }
    private val tail = prompt.copyOfRange(pieceTexts.size * TEXT_PIECE_BYTES, prompt.size)

    /** Hashes of the full pieces' texts, in order. */
    val textHashes: List<TextHash> = hashesOf(request.organisation, pieceTexts)

    /** Returns the texts of those pieces whose hash is in [hashes], each once. */
    fun texts(hashes: Set<TextHash>): List<TextPiece> = textHashes.zip(pieceTexts)
        .filter { it.first in hashes }
        .distinctBy { it.first }
        .map { (hash, text) -> TextPiece(hash, text) }

    /** Returns the bytes that the forwarded request needs when [inline] goes with it. */
    fun bytesOnLink(inline: List<TextPiece>): Long =
        inline.sumOf { it.text.size.toLong() } + tail.size + textHashes.size * TextHash.BYTES

    /** Returns the request in the form that crosses the link. */
    fun completion() = ForwardedCompletion(
        request = request.request,
        attempt = request.attempt,
        organisation = request.organisation,
        model = request.model,
        version = request.version,
        adapter = request.adapter,
        priority = request.priority,
        maximumTokens = request.maximumTokens,
        resumeAfterTokens = request.resumeAfterTokens,
        resumeText = request.resumeText,
        textPieces = TextHash.join(textHashes),
        contextHash = contextPieces(request.scope(), prompt).lastOrNull().orEmpty(),
        tail = tail,
    )

    companion object {
        // A request carries 16 bytes a piece and half a piece of tail on average; 1,000 bytes keep the sum small for
        // prompts of 20 to 200 kB, where context pieces of 8,000 bytes would send a tail of 4 kB again each time.
        private const val TEXT_PIECE_BYTES = 1_000

        fun of(request: GenerateRequest): PromptPieces = PromptPieces(request, request.prompt.encodeToByteArray())

        /** Returns the chained hashes of the full context pieces of [prompt], in hexadecimal. */
        fun contextPieces(scope: ContextScope, prompt: ByteArray): List<String> =
            PromptHashes.of(scope, prompt).pieces.map { it.toString() }

        // The salt keeps texts of two organisations apart, so that one cannot learn what another has sent.
        private fun hashesOf(organisation: OrganisationId, texts: List<ByteArray>): List<TextHash> {
            val digest = MessageDigest.getInstance("SHA-256")
            val salt = digest.digest("text of organisation $organisation".encodeToByteArray())
            return texts.map { text ->
                digest.update(salt)
                TextHash.of(digest.digest(text))
            }
        }

        private fun GenerateRequest.scope() = ContextScope(organisation, model, version, adapter)
    }
}
