package org.parsleymoor.coordination

import org.parsleymoor.core.Incarnation

/** An input of a [Membership]. */
public sealed interface MembershipEvent {
    /** The platform's list of gateways, which lags behind those that run. */
    public data class Listed(public val members: List<Member>) : MembershipEvent

    /** A peer sent a hello or a heartbeat; [Member.leaving] is what the peer says of itself. */
    public data class HeartbeatReceived(
        public val member: Member,
        public val incarnation: Incarnation
    ) : MembershipEvent

    /** Time has passed. */
    public data object Tick : MembershipEvent
}

/** What the user of a [Membership] has to do; the membership does no I/O itself. */
public sealed interface MembershipAction {
    /** Keep connections open to exactly these members. */
    public data class KeepConnectedTo(public val neighbours: List<Member>) : MembershipAction
}
