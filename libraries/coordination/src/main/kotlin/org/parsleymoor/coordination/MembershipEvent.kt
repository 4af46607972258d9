package org.parsleymoor.coordination

import org.parsleymoor.core.Incarnation
import org.parsleymoor.core.InstanceId

/** What a [Membership] is told. */
public sealed interface MembershipEvent {
    /** The platform's list, which lags behind what runs. */
    public data class Listed(public val members: List<Member>) : MembershipEvent

    /** A peer connection greeted or sent a heartbeat. */
    public data class Heard(public val member: Member, public val incarnation: Incarnation) : MembershipEvent

    /** A peer connection broke or could not be opened. */
    public data class Disconnected(public val instance: InstanceId) : MembershipEvent

    /** Time has passed. */
    public data object Tick : MembershipEvent
}

/** What a [Membership] asks its shell to do. */
public sealed interface MembershipAction {
    /** Open a connection to [member], replacing the one that is open. */
    public data class Connect(public val member: Member) : MembershipAction

    /** Close the connection to [instance], which is no longer a neighbour. */
    public data class Disconnect(public val instance: InstanceId) : MembershipAction

    /** Send a heartbeat on the connection to [instance]. */
    public data class SendHeartbeat(public val instance: InstanceId) : MembershipAction
}
