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
    parts = crash.prompt.parts.toHashes(),
    sentAgeMillis = nowMillis - crash.prompt.sentMillis,
    responding = crash.prompt.responding,
)

internal fun EndpointCrashDigest.toUpdate(nowMillis: Long): PeerUpdate.Crashed {
    val prompt = UnansweredRequest(parts.toKeys(), nowMillis - sentAgeMillis, responding)
    val crash = EndpointCrash(EngineIncarnation(endpoint, startMillis), nowMillis - ageMillis, prompt)
    return PeerUpdate.Crashed(origin, crash)
}

internal fun PeerUpdate.Answered.toDigest(nowMillis: Long): AnsweredPartsDigest =
    AnsweredPartsDigest(parts.toHashes(), nowMillis - atMillis)

internal fun AnsweredPartsDigest.toUpdate(nowMillis: Long): PeerUpdate.Answered =
    PeerUpdate.Answered(parts.toKeys(), nowMillis - ageMillis)

internal fun PeerUpdate.Quarantined.toDigest(nowMillis: Long): QuarantinedPartDigest = QuarantinedPartDigest(
    part = entry.part.hash,
    companions = entry.companions.toHashes(),
    lastCrashAgeMillis = nowMillis - entry.lastCrashMillis,
    failedProbes = entry.failedProbes,
)

internal fun QuarantinedPartDigest.toUpdate(nowMillis: Long): PeerUpdate.Quarantined = PeerUpdate.Quarantined(
    QuarantinedContent(ContentKey(part), companions.toKeys(), nowMillis - lastCrashAgeMillis, failedProbes),
)

private fun Set<ContentKey>.toHashes(): Set<Long> = map { it.hash }.toSet()

private fun Set<Long>.toKeys(): Set<ContentKey> = map { ContentKey(it) }.toSet()
