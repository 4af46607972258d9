package org.parsleymoor.execution

/** Decides which calls may be sent again after an endpoint may have run them. */
public object RetryRules {
    /** A model completion has no effect outside the engine, so it may always be sent again. */
    public const val COMPLETION_REPEATABLE: Boolean = true

    /** A plain service call may be sent again if [method] is safe or its group is declared repeatable. */
    public fun serviceCallRepeatable(method: String, groupRepeatable: Boolean): Boolean =
        groupRepeatable || method in SAFE_METHODS

    private val SAFE_METHODS = setOf("GET", "HEAD")
}
