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

/** The result of connecting to a process. */
internal sealed interface ConnectionResult {
    data class Connected(val link: PeerLink) : ConnectionResult

    /** The process may be running, but cannot be reached now. */
    data class Unreachable(val failure: PeerFailure) : ConnectionResult

    /** The process has ended: its instance runs a newer process, is leaving and unreachable, or is no longer listed. */
    data object Gone : ConnectionResult
}

/** Connects to gateways by instance or process. */
internal class PeerDirectory(
    private val self: Incarnation,
    private val node: PeerNode,
    private val members: GatewayMembers,
    private val clock: Clock,
) {
    private val lastFailureMillis = ConcurrentHashMap<InstanceId, Long>()

    /** The first gateway in the order of preference for [key]; null when that is this one. */
    fun ownerOf(key: String): InstanceId? =
        members.preferenceOrder(key).firstOrNull()?.instance?.takeIf { it != self.instance }

    /** Connects to whichever process is running on [instance]. */
    suspend fun connect(instance: InstanceId): Result<PeerLink, PeerFailure> {
        val member = memberOf(instance)
        val failedAgoMillis = clock.nowMillis() - (lastFailureMillis[instance] ?: (Long.MIN_VALUE / 2))
        return when {
            member == null -> Err(PeerFailure.NotConnected(instance.value, "unknown instance"))
            failedAgoMillis < RETRY_DELAY_MILLIS ->
                Err(PeerFailure.NotConnected(instance.value, "last connection attempt failed $failedAgoMillis ms ago"))
            else -> dial(instance, member.member.peerAddress)
        }
    }

    /** Connects to [process], and to no other process of its instance. */
    suspend fun connect(process: Incarnation): ConnectionResult {
        val member = memberOf(process.instance)
        val seen = member?.incarnation
        return when {
            process.instance == self.instance -> ConnectionResult.Gone
            member == null && members.hasReadList -> ConnectionResult.Gone
            seen != null && seen.startMillis > process.startMillis -> ConnectionResult.Gone
            else -> connect(process.instance).mapBoth({ verifyIncarnation(it, process) }, { unreachable(member, it) })
        }
    }

    // Without a timeout and a retry delay, calls to an unresponsive gateway would queue behind its connection attempts.
    private suspend fun dial(instance: InstanceId, address: String): Result<PeerLink, PeerFailure> {
        val outcome = withTimeoutOrNull(CONNECT_TIMEOUT_MILLIS) { node.connect(instance, address) }
            ?: Err(PeerFailure.NotConnected(address, "no answer in $CONNECT_TIMEOUT_MILLIS ms"))
        return outcome.onFailure { lastFailureMillis[instance] = clock.nowMillis() }
    }

    private fun verifyIncarnation(link: PeerLink, process: Incarnation): ConnectionResult {
        val found = link.remote.incarnation
        return when {
            found == process -> ConnectionResult.Connected(link)
            found.startMillis > process.startMillis -> ConnectionResult.Gone
            else -> ConnectionResult.Unreachable(PeerFailure.NotConnected(process.toString(), "connected to $found"))
        }
    }

    private fun unreachable(member: MembershipEntry?, failure: PeerFailure): ConnectionResult =
        if (member?.state == MemberState.LEAVING) ConnectionResult.Gone else ConnectionResult.Unreachable(failure)

    private fun memberOf(instance: InstanceId): MembershipEntry? =
        members.view().firstOrNull { it.member.instance == instance }

    private companion object {
        const val CONNECT_TIMEOUT_MILLIS = 1_500L
        const val RETRY_DELAY_MILLIS = 1_000L
    }
}
