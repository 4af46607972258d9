package org.parsleymoor.entry.protocol

/**
 * A position in the history of the object store: its [era], which rises each time the store comes back from an older
 * copy, and the [revision] within that era. Revisions of two eras cannot be compared: a later era may give out the same
 * ones again for other content.
 */
public data class StorePosition(public val era: Long, public val revision: Long) : Comparable<StorePosition> {
    override fun compareTo(other: StorePosition): Int = compareValuesBy(this, other, { it.era }, { it.revision })

    override fun toString(): String = if (era == 0L) "$revision" else "$era/$revision"

    public companion object {
        /** Highest era: with 40 bits of revision it fits into the 53 bits that a JSON number represents exactly. */
        public const val MAX_ERA: Long = (1L shl 13) - 1

        /** Position before any change. */
        public val START: StorePosition = StorePosition(era = 0, revision = 0)
    }
}
