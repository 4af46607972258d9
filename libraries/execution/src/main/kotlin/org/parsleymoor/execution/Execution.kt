package org.parsleymoor.execution

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What a refusal says about the request: whether an endpoint ran it. */
@Serializable
public enum class Execution {
    /** No byte was written to an endpoint, or each endpoint that was asked refused before running it. */
    @SerialName("not_run")
    NotRun,

    /** An endpoint ran the request to its end. */
    @SerialName("run")
    Run,

    /** An endpoint may have run the request, or part of it. */
    @SerialName("unknown")
    Unknown,
}
