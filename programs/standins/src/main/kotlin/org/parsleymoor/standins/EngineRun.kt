package org.parsleymoor.standins

import kotlinx.serialization.Serializable
import org.parsleymoor.clients.EngineRefusalReason
import org.parsleymoor.clients.GenerateRequest
import org.parsleymoor.core.AttemptId
import org.parsleymoor.core.ModelId
import org.parsleymoor.core.OrganisationId
import org.parsleymoor.core.RequestId
import org.parsleymoor.core.WeightVersion

/** How a run ended, or that it has not. */
@Serializable
public enum class RunOutcome { QUEUED, RUNNING, FINISHED, REFUSED, CANCELLED, BROKEN }

/**
 * One request that reached an engine. Times are milliseconds since the epoch; 0 means never. [othersAtArrival] counts
 * the requests that the engine had when this one came; [coldSinceMillis] is set when it was cold then. [foreignPieces]
 * counts the cached blocks it used that another organisation, model or weight version had computed.
 */
@Serializable
public data class EngineRun(
    public val number: Long,
    public val request: RequestId,
    public val attempt: AttemptId,
    public val organisation: OrganisationId,
    public val model: ModelId,
    public val version: WeightVersion,
    public val promptDigest: String,
    public val startCount: Long,
    public val arrivedAtMillis: Long,
    public val othersAtArrival: Int,
    public val coldSinceMillis: Long,
    public val resumedAfterTokens: Int = 0,
    public val startedAtMillis: Long = 0,
    public val endedAtMillis: Long = 0,
    public val pieces: Int = 0,
    public val cachedPieces: Int = 0,
    public val foreignPieces: Int = 0,
    public val tokens: Int = 0,
    public val outcome: RunOutcome = RunOutcome.QUEUED,
    public val refusal: EngineRefusalReason? = null,
)

/** The entry of a request as it arrives. */
internal fun engineRun(number: Long, request: GenerateRequest, state: ArrivalState): EngineRun = EngineRun(
    number = number,
    request = request.request,
    attempt = request.attempt,
    organisation = request.organisation,
    model = request.model,
    version = request.version,
    promptDigest = ModelText.promptDigest(request.prompt),
    startCount = state.startCount,
    arrivedAtMillis = state.nowMillis,
    othersAtArrival = state.others,
    coldSinceMillis = state.coldSinceMillis,
    resumedAfterTokens = request.resumeAfterTokens,
    pieces = request.pieces.size,
)

/** What an engine was like when a request arrived. */
internal data class ArrivalState(
    val startCount: Long,
    val nowMillis: Long,
    val others: Int,
    val coldSinceMillis: Long,
)
