package org.parsleymoor.relay.limits

/**
 * Limits of the connections of callers to one instance: at most [connections] are open; when room is short, one that
 * takes [unfinishedMillis] or longer to send a request may be closed.
 */
public data class ConnectionLimits(
    public val connections: Int = DEFAULT_CONNECTIONS,
    public val unfinishedMillis: Long = DEFAULT_UNFINISHED_MILLIS,
) {
    /** Most connections that may be accepted while it is still to be decided which of them to close. */
    public val accepted: Int get() = maxOf(connections + connections / ACCEPTED_SHARE, MIN_ACCEPTED)

    public companion object {
        private const val ACCEPTED_SHARE = 8

        // A few servers besides that of callers have the same limit, and need this much.
        private const val MIN_ACCEPTED = 96

        /** The default of [ConnectionLimits.connections]. */
        public const val DEFAULT_CONNECTIONS: Int = 2_500

        /** The default of [ConnectionLimits.unfinishedMillis]. */
        public const val DEFAULT_UNFINISHED_MILLIS: Long = 2_000

        /**
         * Limits for a process that may have [descriptors] open and has [heapBytes] of heap: as many connections as
         * leave it a quarter of its descriptors and three quarters of its heap.
         */
        public fun of(descriptors: Int, heapBytes: Long): ConnectionLimits = ConnectionLimits(
            connections = minOf(
                (descriptors - OWN_DESCRIPTORS) / DESCRIPTOR_PARTS * (DESCRIPTOR_PARTS - 1),
                (heapBytes / HEAP_PARTS / CONNECTION_BYTES).toInt(),
            ).coerceAtLeast(1),
        )

        // One part of the descriptors is left to connections to endpoints, peers and the object store, and callers' get
        // one part of the heap.
        private const val DESCRIPTOR_PARTS = 4
        private const val HEAP_PARTS = 4

        // Files, class archives and listening sockets.
        private const val OWN_DESCRIPTORS = 300

        // What an open connection without a request occupies: its channel, its coroutine and an empty buffer.
        private const val CONNECTION_BYTES = 8_192
    }
}
