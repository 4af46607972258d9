package org.parsleymoor.relay.limits

/** What a caller's connection is doing. */
public enum class ConnectionStage {
    /** A refusal was written and what still arrives is dropped, or it is being closed for another reason. */
    REFUSED,

    /** No request has arrived on it yet. */
    NEW,

    /** A request is arriving. */
    RECEIVING,

    /** A request is being handled. */
    HANDLING,

    /** A request was answered, and no other has begun to arrive. */
    IDLE,
}

/** What [connection] is doing since [sinceMillis], and the bytes that it holds of requests that are not complete. */
public class ConnectionUse<out T>(
    public val connection: T,
    public val stage: ConnectionStage,
    public val sinceMillis: Long,
    public val heldBytes: Long,
)

/**
 * Chooses the connections of callers to close when room is short: those that have held most for longest without a
 * complete request. A caller that sends its request at once is never among them.
 */
public class ConnectionShedding(private val limits: ConnectionLimits) {
    /** Returns connections to close so that there is room for more than [uses], at least one unless all are in use. */
    public fun <T> forConnections(uses: List<ConnectionUse<T>>): List<T> = uses
        .filter { it.stage != ConnectionStage.HANDLING }
        .sortedWith(compareBy({ it.stage.closingOrder }, { it.sinceMillis }))
        .take(1 + uses.size / CLOSED_SHARE)
        .map { it.connection }

    /**
     * Returns connections to close so that at least [excessBytes] bytes are given back, or all that take longer than
     * [ConnectionLimits.unfinishedMillis] to complete a request if they hold less.
     */
    public fun <T> forBytes(uses: List<ConnectionUse<T>>, excessBytes: Long, nowMillis: Long): List<T> {
        var givenBack = 0L
        return uses
            .filter { it.heldBytes > 0 && nowMillis - it.sinceMillis >= limits.unfinishedMillis }
            .sortedByDescending { it.heldBytes.toDouble() * (nowMillis - it.sinceMillis) }
            .takeWhile { use -> (givenBack < excessBytes).also { givenBack += use.heldBytes } }
            .map { it.connection }
    }

    private companion object {
        // One in this many connections is closed at once, so that a crowd does not lead to a search for each of its
        // connections.
        const val CLOSED_SHARE = 32

        val ConnectionStage.closingOrder: Int
            get() = when (this) {
                ConnectionStage.REFUSED -> 0
                ConnectionStage.NEW, ConnectionStage.RECEIVING -> 1
                ConnectionStage.IDLE -> 2
                ConnectionStage.HANDLING -> 3
            }
    }
}
