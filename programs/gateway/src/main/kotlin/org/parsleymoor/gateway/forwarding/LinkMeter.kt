package org.parsleymoor.gateway.forwarding

import org.parsleymoor.core.OrganisationId

/** Paces and accounts for what this gateway sends over the inter-region link. */
internal interface LinkMeter {
    /** Suspends until [bytes] of [organisation] for [purpose] may be sent. */
    suspend fun send(organisation: OrganisationId, purpose: LinkPurpose, bytes: Long)
}

/** What the inter-region link is used for. */
internal enum class LinkPurpose { PROMPT_TEXT, ANSWER_TEXT }
