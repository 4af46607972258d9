package org.parsleymoor.entry.control

import org.parsleymoor.peering.SpeedEvidenceDigest
import org.parsleymoor.relay.cache.EngineIncarnation
import org.parsleymoor.relay.exchange.PeerUpdate
import org.parsleymoor.relay.speed.SpeedEvidence

internal fun PeerUpdate.Measured.toDigest(): SpeedEvidenceDigest =
    SpeedEvidenceDigest(origin, endpoint.endpoint, endpoint.startMillis, evidence.sum, evidence.count)

internal fun SpeedEvidenceDigest.toUpdate(): PeerUpdate.Measured =
    PeerUpdate.Measured(origin, EngineIncarnation(endpoint, startMillis), SpeedEvidence(sum, count))
