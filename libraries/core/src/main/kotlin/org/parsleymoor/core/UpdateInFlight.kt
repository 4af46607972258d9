package org.parsleymoor.core

/**
 * A conditional update of a platform object whose outcome is not known yet. It is [uncertain] when its response was
 * lost or is overdue, so that the object has to be read back and compared with [writeId].
 */
public data class PendingUpdate<T>(
    public val writeId: String,
    public val sentMillis: Long,
    public val content: T,
    public val uncertain: Boolean = false,
)

/**
 * Holds the single update of a platform object that is in flight. A response that has not arrived after
 * [responseMillis] counts as lost. Not thread-safe.
 */
public class UpdateInFlight<T>(private val responseMillis: Long) {
    /** The update in flight, or null when there is none. */
    public var pending: PendingUpdate<T>? = null
        private set

    /** Records that [update] was sent. */
    public fun start(update: PendingUpdate<T>) {
        pending = update
    }

    /** Returns the update in flight if its id is [writeId]. */
    public fun of(writeId: String): PendingUpdate<T>? = pending?.takeIf { it.writeId == writeId }

    /** Ends the update in flight and returns it if its id is [writeId]. */
    public fun end(writeId: String): PendingUpdate<T>? = of(writeId)?.also { pending = null }

    /** Ends an uncertain update after the object has been read back. */
    public fun endUncertain() {
        if (pending?.uncertain == true) pending = null
    }

    /** Marks the update in flight as uncertain. */
    public fun markUncertain() {
        pending = pending?.copy(uncertain = true)
    }

    /** Marks the update in flight as uncertain if its response is overdue at [nowMillis]. */
    public fun markOverdueUncertain(nowMillis: Long) {
        if (pending?.sentMillis?.let { isOverdue(it, nowMillis) } == true) markUncertain()
    }

    /** Returns whether the response to a call sent at [sentMillis] counts as lost at [nowMillis]. */
    public fun isOverdue(sentMillis: Long, nowMillis: Long): Boolean = sentMillis <= nowMillis - responseMillis
}
