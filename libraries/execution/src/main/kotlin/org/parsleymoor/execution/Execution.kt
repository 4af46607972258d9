package org.parsleymoor.execution

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Whether an endpoint ran a request that was refused; reported with the refusal. */
@Serializable
public enum class Execution {
    /** No byte was written to an endpoint, or every endpoint that was tried refused before running it. */
    @SerialName("not_run")
    NotRun,

    /** An endpoint ran the request to completion. */
    @SerialName("run")
    Run,

    /** An endpoint may have run the request, or part of it. */
    @SerialName("unknown")
    Unknown,
}
