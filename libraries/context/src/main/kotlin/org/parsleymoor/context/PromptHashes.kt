package org.parsleymoor.context

import org.parsleymoor.core.OrganisationId
import java.security.MessageDigest

/**
 * Hashes of the full pieces of a prompt. [pieces] are chained hashes that identify KV blocks: each covers the scope and
 * all text up to the end of its piece. [textPieces] are hashes of the text of each piece alone, salted with the
 * organisation, so that text is sent only once over the inter-region link. [remainderBytes] is the size of the text
 * after the last full piece.
 */
public data class PromptHashes(
    public val pieces: List<PieceHash>,
    public val textPieces: List<PieceHash>,
    public val remainderBytes: Int,
) {
    public companion object {
        /** Size of a piece of text in bytes of UTF-8, about [PIECE_TOKENS] tokens. */
        public const val PIECE_BYTES: Int = 8_000

        /** Assumed number of tokens in a full piece. */
        public const val PIECE_TOKENS: Int = 2_000

        /** Splits the UTF-8 [prompt] into pieces and hashes them under [scope]. */
        public fun of(scope: ContextScope, prompt: ByteArray): PromptHashes {
            val count = prompt.size / PIECE_BYTES
            val prefixHashes = ArrayList<PieceHash>(count)
            val textHashes = ArrayList<PieceHash>(count)
            val digest = MessageDigest.getInstance("SHA-256")
            val salt = textSalt(digest, scope.organisation)
            var previous = seed(digest, scope)
            for (index in 0 until count) {
                previous = pieceHash(digest, previous, prompt, index)
                prefixHashes += PieceHash.of(previous)
                textHashes += PieceHash.of(pieceHash(digest, salt, prompt, index))
            }
            return PromptHashes(prefixHashes, textHashes, prompt.size % PIECE_BYTES)
        }

        /** Splits [prompt] into pieces and hashes them under [scope]. */
        public fun of(scope: ContextScope, prompt: String): PromptHashes = of(scope, prompt.encodeToByteArray())

        private fun seed(digest: MessageDigest, scope: ContextScope): ByteArray {
            val fields = listOf(scope.organisation.value, scope.model.value, scope.version.value, scope.adapter.value)
            return hashFields(digest, "context", fields)
        }

        private fun textSalt(digest: MessageDigest, organisation: OrganisationId): ByteArray =
            hashFields(digest, "text", listOf(organisation.value))

        /** Prefixes each field with its length, so that no two lists of fields give the same input. */
        private fun hashFields(digest: MessageDigest, label: String, fields: List<String>): ByteArray {
            for (field in listOf(label) + fields) {
                val bytes = field.encodeToByteArray()
                digest.update("${bytes.size}:".encodeToByteArray())
                digest.update(bytes)
            }
            return digest.digest().copyOf(PieceHash.BYTES)
        }

        private fun pieceHash(digest: MessageDigest, previous: ByteArray, prompt: ByteArray, index: Int): ByteArray {
            digest.update(previous)
            digest.update(prompt, index * PIECE_BYTES, PIECE_BYTES)
            return digest.digest().copyOf(PieceHash.BYTES)
        }
    }
}
