package org.parsleymoor.trials

/** The targets of section 11.5 that an experiment has to meet. */
internal class FaultChecks(private val name: FaultName, private val faults: List<Fault>) {
    /** Returns a line for each target that is missed. */
    fun failures(report: FaultReport, calls: List<CallRecord>): List<String> = listOfNotNull(
        zero("wrongAnswers", report.wrongAnswers),
        zero("doubled", report.doubled),
        zero("falseNotRun", report.falseNotRun),
        zero("violations", report.violations),
        within("newWorkAfterLeaveMillis", report.newWorkAfterLeaveMillis, LEAVE_MILLIS),
        within("configurationInForceMillis", report.configurationInForceMillis, IN_FORCE_MILLIS),
        if (name == FaultName.PLANNED_STOP) zero("interrupted", calls.count { it.isInterrupted() }) else null,
        if (name == FaultName.GATEWAY_KILLED) repeatable(calls) else null,
    ) + faults.flatMap { it.failures() }

    private fun zero(field: String, found: Int): String? =
        if (found == 0) null else "$field: expected 0, found $found"

    private fun within(field: String, found: Long, limit: Long): String? =
        if (found <= limit) null else "$field: expected at most $limit, found $found"

    private fun repeatable(calls: List<CallRecord>): String? {
        val repeatable = calls.filter { it.outcome.repeatable }
        val answered = repeatable.count { it.outcome.result == CallResult.ANSWERED }
        if (answered >= ANSWERED_SHARE * repeatable.size) return null
        return "repeatable: expected at least 99.9% answered whole, found $answered of ${repeatable.size}"
    }

    /**
     * A planned stop may end a request only by its answer or by a refusal before it ran. A key whose issuer or claimer
     * has left is answered `unknown`, which interrupts nothing when the call is a repetition or was moved to another
     * gateway.
     */
    private fun CallRecord.isInterrupted(): Boolean = when (outcome.result) {
        CallResult.BROKEN -> true
        CallResult.UNKNOWN -> kind != CallKind.REPEAT && !movedOn
        CallResult.ANSWERED, CallResult.NOT_RUN, CallResult.WRONG -> false
    }

    private companion object {
        const val LEAVE_MILLIS = 3_000L
        const val IN_FORCE_MILLIS = 5_000L
        const val ANSWERED_SHARE = 0.999
    }
}
