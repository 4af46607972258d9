package org.parsleymoor.execution.atmostonce

/** The claims of one shard as stored in the platform, as far as its head and segments have been read. */
internal class ClaimIndex {
    private val claims = HashMap<String, Claim>()
    private val segments = HashMap<Long, List<Claim>>()

    /** The newest head that was read or written; null before the first read. */
    var newest: StoredHead? = null
        private set

    /** Whether the newest head may refer to segments that have been deleted, and so has to be read again. */
    var mayBeStale: Boolean = false
        private set

    /** Records that a read failed, so that the head is read again. */
    fun markStale() {
        mayBeStale = true
    }

    /** Returns the segments that the head refers to and that have not been read yet. */
    fun missingSegments(): List<Long> = newest?.head?.segments.orEmpty().map { it.number }.filter { it !in segments }

    /** Returns the claim on [key]; valid only if no segment is missing. */
    fun claimOf(key: String): Claim? = claims[key]

    /**
     * Replaces the head by [stored], unless a newer one is known. Claims and segments that are not in [stored] are
     * removed before its claims are added: the claims of a segment whose head write was lost are still in the head.
     */
    fun acceptHead(stored: StoredHead?) {
        mayBeStale = false
        val current = stored ?: StoredHead(ClaimHead(), 0, "")
        if (current.version < (newest?.version ?: 0)) return
        val previous = newest?.head ?: ClaimHead()
        newest = current
        val referenced = current.head.segments.mapTo(HashSet()) { it.number }
        (segments.keys - referenced).forEach { number -> segments.remove(number)?.forEach { claims -= it.key } }
        previous.claims.forEach { claims -= it.key }
        (referenced - previous.segments.mapTo(HashSet()) { it.number }).forEach { addSegment(it) }
        current.head.claims.forEach { claims[it.key] = it }
    }

    /** Adds the claims of a segment that the head refers to. */
    fun acceptSegment(number: Long, content: List<Claim>) {
        segments[number] = content
        addSegment(number)
    }

    private fun addSegment(number: Long) {
        segments[number]?.forEach { claims[it.key] = it }
    }
}

/** An upper bound of the size of this claim in the JSON encoding of a head. */
internal val Claim.encodedBytes: Int get() = CLAIM_OVERHEAD_BYTES + key.length + claimer.instance.value.length

internal val ClaimHead.encodedBytes: Int
    get() = HEAD_OVERHEAD_BYTES + segments.size * SEGMENT_BYTES + claims.sumOf { it.encodedBytes }

private const val CLAIM_OVERHEAD_BYTES = 112
private const val SEGMENT_BYTES = 72
private const val HEAD_OVERHEAD_BYTES = 32
