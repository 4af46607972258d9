package org.parsleymoor.relay.quarantine

/** Whether a prompt may be sent to an endpoint. */
public sealed interface QuarantineDecision {
    /** The prompt may be sent. */
    public data object Allowed : QuarantineDecision

    /** The prompt may be sent in order to find out whether endpoints still crash on [part]. */
    public data class Probe(public val part: ContentKey) : QuarantineDecision

    /** The prompt must not be sent because of [part]; the part is not probed again for [retryAfterMillis]. */
    public data class Refused(public val part: ContentKey, public val retryAfterMillis: Long) : QuarantineDecision
}
