package org.parsleymoor.relay.limits

import org.parsleymoor.core.InstanceId

/** The instances [ids] that were registered in the object store at [listedMillis]. */
public data class InstanceList(public val ids: Set<InstanceId>, public val listedMillis: Long)

/**
 * The instances that divide shared limits, as far as this instance, [self], knows them: from its own list of the
 * registrations, or from a peer while it cannot read that. Decides which part of a limit this instance may use: an
 * equal one only if the others count it as well. Not thread-safe.
 */
public class KnownInstances(private val self: InstanceId, times: RegistrationTimes = RegistrationTimes()) {
    private val registration = InstanceRegistration(times)
    private var stopping = false
    private var told: InstanceList? = null
    private var toldMillis = Long.MIN_VALUE / 2
    private var countedByPeers = false
    private var replacedFormer = false
    private var withGone: Set<InstanceId>? = null
    private var withGoneUntilMillis = Long.MIN_VALUE

    /** The list that this instance read last, or null before the first. */
    public var listed: InstanceList? = null
        private set

    /** The newest known list, read by this instance or told by a peer, or null while none is known. */
    public val newest: InstanceList? get() = listOfNotNull(listed, told).maxByOrNull { it.listedMillis }

    /** The instances in [newest] and this one, or null while none are known; the same object until they change. */
    public var ids: Set<InstanceId>? = null
        private set

    /** Whether [newest] was told by a peer. */
    public val isFromPeer: Boolean get() = newest !== listed

    /** Records that this instance read [list]. */
    public fun list(list: InstanceList) {
        listed = list
        updateIds(list.listedMillis)
    }

    /** Records that a peer told [list] at [nowMillis]. */
    public fun tell(list: InstanceList, nowMillis: Long) {
        val latest = told?.takeIf { it.listedMillis >= list.listedMillis } ?: list
        told = latest
        toldMillis = nowMillis
        // A list from after the registration may have it without the others knowing it.
        val since = registration.sinceMillis
        val isFromBefore = since == null || latest.listedMillis < since || registration.isExpired(nowMillis)
        if (isFromBefore) {
            countedByPeers = self in latest.ids
            replacedFormer = replacedFormer && countedByPeers
        }
        updateIds(nowMillis)
    }

    /**
     * Records that the registration was written or renewed by a call that began at [atMillis]; [replaced] if it took
     * the place of one that others may have listed.
     */
    public fun recordRenewal(atMillis: Long, replaced: Boolean) {
        // Instances that all start again find all former registrations in the list.
        if (registration.sinceMillis == null) replacedFormer = replaced && (told == null || countedByPeers)
        registration.renew(atMillis)
    }

    /** Records that this instance is shutting down and removes its registration. */
    public fun recordRemoval() {
        stopping = true
    }

    /** Whether peers have to be asked for their list, because they may not count this instance. */
    public fun isUnsure(nowMillis: Long): Boolean =
        !registration.isListed(nowMillis) || registration.expiresWithin(ASK_MILLIS, nowMillis)

    /**
     * Returns the part of a shared limit that this instance may use at [nowMillis]. It grows some time after others
     * have gone, because these may not know yet that they are no longer counted.
     */
    public fun part(nowMillis: Long): InstancePart {
        val instances = withGone?.takeIf { nowMillis < withGoneUntilMillis } ?: ids
        return when {
            instances == null -> InstancePart.Nothing
            isCounted(nowMillis) && !stopping -> InstancePart.OfLimit(instances)
            registration.isNew(nowMillis) -> InstancePart.Nothing
            else -> InstancePart.OfReserve(instances)
        }
    }

    private fun isCounted(nowMillis: Long): Boolean =
        registration.isListed(nowMillis) ||
            replacedFormer && !registration.isExpired(nowMillis) ||
            countedByPeers && nowMillis - toldMillis < TOLD_MILLIS

    private fun updateIds(nowMillis: Long) {
        val former = ids.orEmpty()
        val updated = newest?.ids.orEmpty() + self
        if (updated == former) return
        ids = updated
        val growing = withGone.orEmpty().takeIf { nowMillis < withGoneUntilMillis }.orEmpty()
        withGone = growing + former + updated
        if (!updated.containsAll(former)) withGoneUntilMillis = nowMillis + GROWTH_MILLIS
    }

    private companion object {
        // How long before a registration that cannot be renewed expires peers are asked.
        const val ASK_MILLIS = 5_000L

        // The interval at which peers are asked, plus the window of the limit.
        const val GROWTH_MILLIS = 2_500L

        // Three times the interval at which peers are asked.
        const val TOLD_MILLIS = 3_000L
    }
}
