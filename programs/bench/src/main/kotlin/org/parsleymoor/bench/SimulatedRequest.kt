package org.parsleymoor.bench

import org.parsleymoor.context.PieceHash
import org.parsleymoor.core.OrganisationId

/** A request of the workload. [pieces] name its context; [engineRegions] are the regions that serve its model. */
internal data class SimulatedRequest(
    val number: Int,
    val arrivalMillis: Double,
    val organisation: OrganisationFigures,
    val callerRegion: String,
    val pieces: List<PieceHash>,
    val remainderTokens: Int,
    val outputTokens: Int,
) {
    val organisationId: OrganisationId = OrganisationId(organisation.name)
    val engineRegions: List<String> get() = organisation.engineRegions
    val mustCross: Boolean get() = callerRegion !in engineRegions
}
