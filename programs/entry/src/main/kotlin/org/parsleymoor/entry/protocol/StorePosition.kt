package org.parsleymoor.entry.protocol

/**
 * A position in the history of the object store: its [era], which rises each time the store comes back from an older
 * copy, and the [revision] within that era. Revisions of two eras cannot be compared: a later era may give out the same
 * ones again for other content.
 */
public data class StorePosition(public val era: Long, public val revision: Long) : Comparable<StorePosition> {
    override fun compareTo(other: StorePosition): Int = compareValuesBy(this, other, { it.era }, { it.revision })

    /**
     * This position as one number, which rises over all eras and equals the [revision] in era 0. Exact in JSON up to
     * [MAX_ERA] and a revision of 40 bits.
     */
    public val number: Long get() = (era shl REVISION_BITS) + revision

    override fun toString(): String = if (era == 0L) "$revision" else "$era/$revision"

    public companion object {
        /** Highest era: with 40 bits of revision it fits into the 53 bits that a JSON number represents exactly. */
        public const val MAX_ERA: Long = (1L shl 13) - 1

        private const val REVISION_BITS = 40

        /** Returns the position whose [StorePosition.number] is [number]. */
        public fun ofNumber(number: Long): StorePosition =
            StorePosition(number shr REVISION_BITS, number and ((1L shl REVISION_BITS) - 1))

        /** Position before any change. */
        public val START: StorePosition = StorePosition(era = 0, revision = 0)
    }
}
