package org.parsleymoor.relay.release

import org.parsleymoor.relay.fleet.EndpointState

/** What this instance knows of the releases of one service. Not thread-safe. */
internal class ServiceRelease {
    /** The stored order, or null. */
    var stored: StoredRelease? = null

    /** The revision of the stored order. */
    var revision: Long = 0

    /** The stored order on this instance, or null without one. */
    var progress: ReleaseProgress? = null

    private var withdrawn: Set<String> = emptySet()
    private var known: Set<String?> = emptySet()
    private var completedMillis: Long? = null

    /** Whether an order is stored whose end is not known, or not stored. */
    val isOpen: Boolean get() = stored?.let { it.state != progress?.end?.state || progress?.end == null } ?: false

    /** Begins to follow [progress]; the release of the order before it gets nothing more if that was not completed. */
    fun replace(progress: ReleaseProgress?) {
        this.progress?.takeIf { it.end?.state != ReleaseState.COMPLETED }?.let { withdrawn += it.order.target }
        this.progress = progress
        completedMillis = null
        progress?.let { withdrawn -= it.order.target }
    }

    /** Records that the order was completed. */
    fun complete(target: String, nowMillis: Long) {
        known = setOf(target)
        completedMillis = nowMillis
    }

    /**
     * Admits the releases of the [listed] endpoints that no order is for. One that appears may be the target of an
     * order that is not known yet, until the orders are confirmed to be current at [confirmedMillis].
     */
    fun admit(listed: List<EndpointState>, confirmedMillis: Long?, nowMillis: Long) {
        val releases = listed.groupBy { it.entry.release }
        withdrawn = withdrawn.filter { it in releases && releases.size > 1 }.toSet()
        val target = progress?.takeIf { it.end == null }?.order?.target
        val admitted = releases.filter { (release, endpoints) ->
            val since = endpoints.minOf { it.firstSeenMillis }
            val isConfirmed = confirmedMillis != null && confirmedMillis > since
            release != target && (known.isEmpty() || isConfirmed || nowMillis - since >= MAX_HELD_BACK_MILLIS)
        }
        known = (known + admitted.keys).filter { it in releases }.toSet()
    }

    /** Returns which endpoints a request may go to, in the order in which they are tried. */
    fun choices(toTarget: Boolean, nowMillis: Long): List<(EndpointState) -> Boolean> {
        val current = progress
        val admitted: (EndpointState) -> Boolean =
            { (known.isEmpty() || it.entry.release in known) && it.entry.release !in withdrawn }
        return when {
            current == null -> listOf(admitted)
            current.end?.state == ReleaseState.COMPLETED -> listOf { isLeft(it, current.order.target, nowMillis) }
            else -> current.choices(toTarget, nowMillis).map { accepts ->
                {
                        state ->
                    accepts(state) && (state.entry.release == current.order.target || admitted(state))
                }
            }
        }
    }

    /** Endpoints of other releases stop at once when the order is completed; later ones may replace the target. */
    private fun isLeft(endpoint: EndpointState, target: String, nowMillis: Long): Boolean {
        val since = completedMillis ?: nowMillis
        return endpoint.entry.release == target || endpoint.firstSeenMillis > since ||
            nowMillis - since >= STOPPED_MILLIS
    }

    internal companion object {
        val ALL: (EndpointState) -> Boolean = { true }

        // After this time the list no longer shows endpoints that stopped at the completion.
        private const val STOPPED_MILLIS = 10_000L

        // The orders cannot be read: endpoints of an unknown release are better than none.
        private const val MAX_HELD_BACK_MILLIS = 5_000L
    }
}
