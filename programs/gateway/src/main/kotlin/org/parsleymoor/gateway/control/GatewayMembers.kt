package org.parsleymoor.gateway.control

import com.github.michaelbull.result.onSuccess
import org.parsleymoor.clients.ListedInstance
import org.parsleymoor.clients.PlatformClient
import org.parsleymoor.coordination.Member
import org.parsleymoor.coordination.MemberState
import org.parsleymoor.coordination.Membership
import org.parsleymoor.coordination.MembershipAction
import org.parsleymoor.coordination.MembershipEntry
import org.parsleymoor.coordination.MembershipEvent
import org.parsleymoor.core.Clock
import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.RegionId
import org.parsleymoor.core.rendezvousOrder
import org.parsleymoor.gateway.ConfigurationHolder
import org.parsleymoor.peering.PeerIdentity
import org.parsleymoor.peering.PeerMessage

/**
 * The known gateways and their state. [onNeighboursChanged] receives the instances and peer addresses to stay connected
 * to whenever they change.
 */
internal class GatewayMembers(
    private val identity: PeerIdentity,
    private val platform: PlatformClient?,
    private val holder: ConfigurationHolder,
    private val clock: Clock,
    private val onNeighboursChanged: (Map<InstanceId, String>) -> Unit,
) {
    private val lock = Any()
    private var membership = Membership(identity.member(""))

    /** Whether the platform's instance list has been read; until then, an unknown instance may still be running. */
    @Volatile
    var hasReadList = false
        private set

    /** Resets the membership to this gateway at [peerAddress]. */
    fun start(peerAddress: String) {
        synchronized(lock) { membership = Membership(identity.member(peerAddress)) }
    }

    /** Reads the platform's instance list; on failure the known members are kept. */
    suspend fun readList() {
        platform?.instances()?.onSuccess { listed ->
            handle(
                MembershipEvent.Listed(listed.map { it.toMember(holder.current?.regionOf(it.zone) ?: identity.region) })
            )
            hasReadList = true
        }
    }

    /** Records a heartbeat or handshake of [remote]; [leaving] is what the peer reports of itself. */
    fun recordHeartbeat(remote: PeerMessage.Hello, leaving: Boolean) {
        val member = Member(remote.incarnation.instance, remote.zone, remote.region, remote.address, leaving)
        handle(MembershipEvent.HeartbeatReceived(member, remote.incarnation))
    }

    /** The instances of this zone, except those known to be silent. */
    fun instancesOfZone(): List<InstanceId> =
        view().filter { it.member.zone == identity.zone && it.state != MemberState.SILENT }.map { it.member.instance }

    /** The number of gateways of this region in the larger of the platform's list and the heartbeat view. */
    fun gatewaysInRegion(): Int = view().count { it.member.region == identity.region }

    /** Whether this gateway is one of the first two candidates for [key]. */
    fun mayContend(key: String): Boolean =
        preferenceOrder(key).take(CONTENDERS).any { it.instance == identity.incarnation.instance }

    /** The gateways that are not leaving, in order of preference for [key]. */
    fun preferenceOrder(key: String): List<Member> = synchronized(lock) { membership.order(key, clock.nowMillis()) }

    /** The first two candidates for [key] among the gateways of [region] that are neither silent nor leaving. */
    fun contenders(region: RegionId, key: String): List<Member> {
        val candidates = view().filter { it.member.region == region && it.state in AVAILABLE }.map { it.member }
        return rendezvousOrder(key, candidates) { it.instance.value }.take(CONTENDERS)
    }

    /** All known gateways with their state. */
    fun view(): List<MembershipEntry> = synchronized(lock) { membership.view(clock.nowMillis()) }

    /** Handles [event] and performs the resulting actions. */
    fun handle(event: MembershipEvent) {
        val actions = synchronized(lock) { membership.handle(clock.nowMillis(), event) }
        actions.forEach { action ->
            when (action) {
                is MembershipAction.KeepConnectedTo ->
                    onNeighboursChanged(action.neighbours.associate { it.instance to it.peerAddress })
            }
        }
    }

    private companion object {
        const val CONTENDERS = 2
        val AVAILABLE = setOf(MemberState.LIVE, MemberState.LISTED)
    }
}

private fun PeerIdentity.member(peerAddress: String) = Member(incarnation.instance, zone, region, peerAddress)

private fun ListedInstance.toMember(region: RegionId) = Member(instance, zone, region, peerAddress, leaving)
