package org.parsleymoor.execution

/** Says which calls the system may send a second time after an endpoint may have run them. */
public object RetryRules {
    /** A model completion has no effect outside the engine, so it may always be repeated. */
    public const val COMPLETION_REPEATABLE: Boolean = true

    /** A plain service call may be repeated when [method] is safe or its group is declared [groupRepeatable]. */
    public fun serviceCallRepeatable(method: String, groupRepeatable: Boolean): Boolean =
        groupRepeatable || method in SAFE_METHODS

    private val SAFE_METHODS = setOf("GET", "HEAD")
}
