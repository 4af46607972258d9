package org.parsleymoor.entry.control

import org.parsleymoor.peering.AnsweredPartsDigest
import org.parsleymoor.peering.EndpointCrashDigest
import org.parsleymoor.peering.QuarantinedPartDigest
import org.parsleymoor.relay.cache.EngineIncarnation
import org.parsleymoor.relay.exchange.PeerUpdate
import org.parsleymoor.relay.quarantine.ContentKey
import org.parsleymoor.relay.quarantine.EndpointCrash
import org.parsleymoor.relay.quarantine.QuarantinedContent
import org.parsleymoor.relay.quarantine.UnansweredRequest

internal fun PeerUpdate.Crashed.toDigest(nowMillis: Long): EndpointCrashDigest = EndpointCrashDigest(
    origin = origin,
    endpoint = crash.endpoint.endpoint,
    startMillis = crash.endpoint.startMillis,
    ageMillis = nowMillis - crash.atMillis,
    parts = crash.request.parts.toHashes(),
    sentAgeMillis = nowMillis - crash.request.sentMillis,
    responding = crash.request.responding,
)

/** Decodes this digest; [request] is the key of the whole request, or null if the sender does not tell it. */
internal fun EndpointCrashDigest.toUpdate(request: Long?, nowMillis: Long): PeerUpdate.Crashed {
    val unanswered = UnansweredRequest(
        parts = parts.toKeys(),
        sentMillis = nowMillis - sentAgeMillis,
        responding = responding,
        request = request?.let { ContentKey(it) },
    )
    val crash = EndpointCrash(EngineIncarnation(endpoint, startMillis), nowMillis - ageMillis, unanswered)
    return PeerUpdate.Crashed(origin, crash)
}

internal fun PeerUpdate.Answered.toDigest(nowMillis: Long): AnsweredPartsDigest =
    AnsweredPartsDigest(keys.toHashes(), nowMillis - atMillis)

internal fun AnsweredPartsDigest.toUpdate(nowMillis: Long): PeerUpdate.Answered =
    PeerUpdate.Answered(parts.toKeys(), nowMillis - ageMillis)

internal fun PeerUpdate.Quarantined.toDigest(nowMillis: Long): QuarantinedPartDigest = QuarantinedPartDigest(
    part = entry.key.hash,
    companions = entry.companions.toHashes(),
    lastCrashAgeMillis = nowMillis - entry.lastCrashMillis,
    failedProbes = entry.failedProbes,
)

internal fun QuarantinedPartDigest.toUpdate(
    ambiguous: Boolean,
    release: String?,
    nowMillis: Long,
): PeerUpdate.Quarantined =
    PeerUpdate.Quarantined(
        QuarantinedContent(
            key = ContentKey(part),
            companions = companions.toKeys(),
            lastCrashMillis = nowMillis - lastCrashAgeMillis,
            failedProbes = failedProbes,
            ambiguous = ambiguous,
            release = release,
        ),
    )

private fun Set<ContentKey>.toHashes(): Set<Long> = map { it.hash }.toSet()

private fun Set<Long>.toKeys(): Set<ContentKey> = map { ContentKey(it) }.toSet()
