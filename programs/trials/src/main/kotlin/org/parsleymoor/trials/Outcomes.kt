package org.parsleymoor.trials

import kotlinx.serialization.Serializable
import org.parsleymoor.clients.WireJson

/** What a caller was told about one call. */
internal enum class CallResult { ANSWERED, WRONG, NOT_RUN, UNKNOWN, BROKEN }

/** One call of the traffic. [effect] is the path that a service call leaves in a journal, empty for a completion. */
internal data class Outcome(
    val organisation: String,
    val promptDigest: String,
    val effect: String,
    val repeatable: Boolean,
    val result: CallResult,
    val firstTokenMillis: Long,
    val detail: String,
)

/** What an answer means for its caller. */
internal data class Verdict(val result: CallResult, val firstTokenMillis: Long = 0, val detail: String = "")

/** Reads a refusal; throws [kotlinx.serialization.SerializationException] when the body is not a problem document. */
internal fun WebAnswer.refusal(): Verdict {
    val problem = WireJson.decodeFromString(ProblemMembers.serializer(), body.trim())
    val result = if (problem.execution == "not_run") CallResult.NOT_RUN else CallResult.UNKNOWN
    return Verdict(result, detail = "$status ${problem.title}: ${problem.detail}")
}

/** The members of a refusal that the checker reads. */
@Serializable
private data class ProblemMembers(val execution: String = "unknown", val title: String = "", val detail: String = "")
