package org.parsleymoor.coordination

import org.parsleymoor.core.Incarnation

/** What a [Membership] is told. */
public sealed interface MembershipEvent {
    /** The platform's list, which lags behind what runs. */
    public data class Listed(public val members: List<Member>) : MembershipEvent

    /** A peer connection greeted or sent a heartbeat; [Member.leaving] is what the peer says of itself. */
    public data class HeartbeatReceived(
        public val member: Member,
        public val incarnation: Incarnation
    ) : MembershipEvent

    /** Time has passed. */
    public data object Tick : MembershipEvent
}

/** What a [Membership] asks its shell to do. */
public sealed interface MembershipAction {
    /** Keep connections open to exactly these members. */
    public data class KeepConnectedTo(public val neighbours: List<Member>) : MembershipAction
}
