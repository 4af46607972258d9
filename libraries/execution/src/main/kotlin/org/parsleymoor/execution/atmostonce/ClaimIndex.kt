package org.parsleymoor.execution.atmostonce

/** All claims of one shard that are known to be in the platform, and which parts are still to be read. */
internal class ClaimIndex {
    private val claims = HashMap<String, Claim>()
    private val segments = HashMap<Long, List<Claim>>()

    /** The newest head that was seen; null before the first read. */
    var known: StoredHead? = null
        private set

    /** Whether the newest head may refer to segments that were deleted since, and has to be read again. */
    var doubted: Boolean = false
        private set

    /** Notes that a read failed. */
    fun doubt() {
        doubted = true
    }

    /** Returns the sealed segments that the head refers to and that were not read yet. */
    fun missingSegments(): List<Long> = known?.head?.segments.orEmpty().map { it.number }.filter { it !in segments }

    /** Returns the claim on [key]; meaningful when nothing is missing. */
    fun claimOf(key: String): Claim? = claims[key]

    /**
     * Takes in a head, unless a newer one is known. Claims and segments that it does not refer to are dropped before
     * its claims are added: the claims of a segment whose head write was lost are still in the head.
     */
    fun accept(stored: StoredHead?) {
        doubted = false
        val current = stored ?: StoredHead(ClaimHead(), 0, "")
        if (current.version < (known?.version ?: 0)) return
        val previous = known?.head ?: ClaimHead()
        known = current
        val referenced = current.head.segments.mapTo(HashSet()) { it.number }
        (segments.keys - referenced).forEach { number -> segments.remove(number)?.forEach { claims -= it.key } }
        previous.claims.forEach { claims -= it.key }
        (referenced - previous.segments.mapTo(HashSet()) { it.number }).forEach { addSegment(it) }
        current.head.claims.forEach { claims[it.key] = it }
    }

    /** Takes in a segment that the head refers to. */
    fun acceptSegment(number: Long, content: List<Claim>) {
        segments[number] = content
        addSegment(number)
    }

    private fun addSegment(number: Long) {
        segments[number]?.forEach { claims[it.key] = it }
    }
}

/** Returns an upper bound of the size of this claim in the JSON form of a head. */
internal val Claim.encodedBytes: Int get() = CLAIM_FRAME_BYTES + key.length + claimer.instance.value.length

internal val ClaimHead.encodedBytes: Int
    get() = HEAD_FRAME_BYTES + segments.size * SEGMENT_BYTES + claims.sumOf { it.encodedBytes }

private const val CLAIM_FRAME_BYTES = 112
private const val SEGMENT_BYTES = 72
private const val HEAD_FRAME_BYTES = 32
