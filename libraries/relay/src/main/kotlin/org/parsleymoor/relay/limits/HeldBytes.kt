package org.parsleymoor.relay.limits

/**
 * The account of the bytes of messages that one instance holds, at most [limitBytes] together. A holder may hold no
 * more than the room that is left after it: a single one gets half of the limit, and many large ones still leave room
 * for small ones. Not thread-safe.
 */
public class HeldBytes(public val limitBytes: Long) {
    /** The number of bytes that all holders hold together. */
    public var totalBytes: Long = 0
        private set

    /** How many bytes more are held than leave a part of the account to new messages; negative if there are fewer. */
    public val excessBytes: Long get() = totalBytes - (limitBytes - limitBytes / FREE_SHARE)

    /** Adds a holder that holds nothing yet. */
    public fun newHolder(): Holder = Holder()

    /** Whether a new holder would find room for [bytes] now. */
    public fun hasRoomFor(bytes: Long): Boolean = bytes <= (limitBytes - totalBytes) / 2

    /** One part of the account. */
    public inner class Holder internal constructor() {
        /** The number of bytes that this holder holds. */
        public var bytes: Long = 0
            private set

        /**
         * Changes what this holder holds to [newBytes]; returns false, and changes nothing, if there is no room for
         * more. Holding less always succeeds.
         */
        public fun tryResize(newBytes: Long): Boolean {
            val newTotal = totalBytes - bytes + newBytes
            if (newBytes > bytes && newBytes > limitBytes - newTotal) return false
            totalBytes = newTotal
            bytes = newBytes
            return true
        }

        /** Gives back everything that this holder holds; may be called more than once. */
        public fun release() {
            tryResize(0)
        }
    }

    private companion object {
        // One part in this many is left to new messages.
        const val FREE_SHARE = 4
    }
}
