package org.parsleymoor.core

/**
 * A conditional update of a platform object whose outcome is not known yet; [uncertain] when its response was lost or
 * is overdue, so that the object has to be read back and compared with [writeId].
 */
public data class PendingUpdate<T>(
    public val writeId: String,
    public val sentMillis: Long,
    public val content: T,
    public val uncertain: Boolean = false,
)

/**
 * The one update of a platform object that is under way. A response that is missing for [responseMillis] counts as
 * lost. Not safe for use from several threads.
 */
public class UpdateInFlight<T>(private val responseMillis: Long) {
    /** The update, or null when none is under way. */
    public var pending: PendingUpdate<T>? = null
        private set

    /** Notes that [update] is sent. */
    public fun start(update: PendingUpdate<T>) {
        pending = update
    }

    /** Returns the update under way when it is [writeId]. */
    public fun of(writeId: String): PendingUpdate<T>? = pending?.takeIf { it.writeId == writeId }

    /** Forgets the update under way when it is [writeId] and returns it. */
    public fun end(writeId: String): PendingUpdate<T>? = of(writeId)?.also { pending = null }

    /** Forgets an update that had to be read back. */
    public fun endUncertain() {
        if (pending?.uncertain == true) pending = null
    }

    /** Notes that the update has to be read back. */
    public fun markUncertain() {
        pending = pending?.copy(uncertain = true)
    }

    /** Doubts an update whose response is overdue at [nowMillis]. */
    public fun markOverdueUncertain(nowMillis: Long) {
        if (pending?.sentMillis?.let { isOverdue(it, nowMillis) } == true) markUncertain()
    }

    /** Returns whether the response to what was sent at [sentMillis] counts as lost at [nowMillis]. */
    public fun isOverdue(sentMillis: Long, nowMillis: Long): Boolean = sentMillis <= nowMillis - responseMillis
}
