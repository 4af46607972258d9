package org.parsleymoor.relay.quarantine

/** Whether a request may be sent to an endpoint. */
public sealed interface QuarantineDecision {
    /** The request may be sent. */
    public data object Allowed : QuarantineDecision

    /** The request may be sent in order to find out whether endpoints still crash on [key]. */
    public data class Probe(public val key: ContentKey) : QuarantineDecision

    /** The request must not be sent because of [key], which is not probed again for [retryAfterMillis]. */
    public data class Refused(public val key: ContentKey, public val retryAfterMillis: Long) : QuarantineDecision
}
