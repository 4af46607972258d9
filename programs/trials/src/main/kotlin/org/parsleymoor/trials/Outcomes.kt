package org.parsleymoor.trials

import kotlinx.serialization.Serializable

/** What a caller was told about one call. */
internal enum class Told { ANSWERED, WRONG, NOT_RUN, UNKNOWN, BROKEN }

/** One call of the traffic. [effect] is the path that a service call leaves in a journal, empty for a completion. */
internal data class Outcome(
    val organisation: String,
    val promptDigest: String,
    val effect: String,
    val repeatable: Boolean,
    val told: Told,
    val firstTokenMillis: Long,
    val detail: String,
)

/** The members of a refusal that the checker reads. */
@Serializable
internal data class ToldProblem(val execution: String = "unknown", val title: String = "", val detail: String = "")
