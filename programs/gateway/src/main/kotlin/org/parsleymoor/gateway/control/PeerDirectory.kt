package org.parsleymoor.gateway.control

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.mapBoth
import com.github.michaelbull.result.onFailure
import kotlinx.coroutines.withTimeoutOrNull
import org.parsleymoor.coordination.MemberState
import org.parsleymoor.coordination.MembershipEntry
import org.parsleymoor.core.Clock
import org.parsleymoor.core.Incarnation
import org.parsleymoor.core.InstanceId
import org.parsleymoor.peering.PeerFailure
import org.parsleymoor.peering.PeerLink
import org.parsleymoor.peering.PeerNode
import java.util.concurrent.ConcurrentHashMap

/** A connection to one process, or why there is none. */
internal sealed interface Reached {
    data class Open(val link: PeerLink) : Reached

    /** The process may run, but no connection can be made now. */
    data class Unreachable(val failure: PeerFailure) : Reached

    /** The process has ended: its instance runs another one, has left, or is no longer listed. */
    data object Gone : Reached
}

/** Connects to gateways by their name. */
internal class PeerDirectory(
    private val self: Incarnation,
    private val node: PeerNode,
    private val members: GatewayMembers,
    private val clock: Clock,
) {
    private val failedMillis = ConcurrentHashMap<InstanceId, Long>()

    /** The gateway that tries first for what [key] names; null when that is this one. */
    fun ownerOf(key: String): InstanceId? = members.order(key).firstOrNull()?.instance?.takeIf { it != self.instance }

    /** Connects to the process that now runs on [instance]. */
    suspend fun connect(instance: InstanceId): Result<PeerLink, PeerFailure> {
        val member = memberOf(instance)
        val failedAgoMillis = clock.nowMillis() - (failedMillis[instance] ?: (Long.MIN_VALUE / 2))
        return when {
            member == null -> Err(PeerFailure.NotConnected(instance.value, "not a known instance"))
            failedAgoMillis < RETRY_MILLIS ->
                Err(PeerFailure.NotConnected(instance.value, "failed $failedAgoMillis ms ago"))
            else -> dial(instance, member.member.peerAddress)
        }
    }

    /** Connects to [process]. */
    suspend fun connect(process: Incarnation): Reached {
        val member = memberOf(process.instance)
        val seen = member?.incarnation
        return when {
            process.instance == self.instance -> Reached.Gone
            member == null && members.hasList -> Reached.Gone
            seen != null && seen.startMillis > process.startMillis -> Reached.Gone
            else -> connect(process.instance).mapBoth({ checked(it, process) }, { unreachable(member, it) })
        }
    }

    // Calls for a gateway that does not answer would queue for one connection attempt after the other.
    private suspend fun dial(instance: InstanceId, address: String): Result<PeerLink, PeerFailure> {
        val outcome = withTimeoutOrNull(CONNECT_MILLIS) { node.connect(instance, address) }
            ?: Err(PeerFailure.NotConnected(address, "no answer in $CONNECT_MILLIS ms"))
        return outcome.onFailure { failedMillis[instance] = clock.nowMillis() }
    }

    private fun checked(link: PeerLink, process: Incarnation): Reached {
        val found = link.remote.incarnation
        return when {
            found == process -> Reached.Open(link)
            found.startMillis > process.startMillis -> Reached.Gone
            else -> Reached.Unreachable(PeerFailure.NotConnected(process.toString(), "connected to $found"))
        }
    }

    private fun unreachable(member: MembershipEntry?, failure: PeerFailure): Reached =
        if (member?.state == MemberState.LEAVING) Reached.Gone else Reached.Unreachable(failure)

    private fun memberOf(instance: InstanceId): MembershipEntry? =
        members.view().firstOrNull { it.member.instance == instance }

    private companion object {
        const val CONNECT_MILLIS = 1_500L
        const val RETRY_MILLIS = 1_000L
    }
}
