package org.parsleymoor.trials

import kotlinx.serialization.Serializable

/** The figures of one fault experiment; `docs/design.md` section 11.5 lists them. */
@Serializable
internal data class FaultReport(
    val requests: Int,
    val answered: Int,
    val refused: Int,
    val unknown: Int,
    val wrongAnswers: Int,
    val doubled: Int,
    val falseNotRun: Int,
    val violations: Int,
    val newWorkAfterLeaveMillis: Long,
    val configurationInForceMillis: Long,
    val timeToFirstTokenP95Millis: PhaseMillis,
)

/** A time in milliseconds before the fault and after the warm-up, during the fault, and after it. */
@Serializable
internal data class PhaseMillis(val before: Long, val during: Long, val after: Long)

/** Sums up [measurement]; [check] has compared its calls with the journals. */
internal fun faultReport(measurement: Measurement, check: JournalCheck, leaves: List<ZoneLeave>): FaultReport {
    val result = measurement.calls.groupingBy { it.outcome.result }.eachCount()
    return FaultReport(
        requests = measurement.calls.size,
        answered = result[CallResult.ANSWERED] ?: 0,
        refused = result[CallResult.NOT_RUN] ?: 0,
        unknown = (result[CallResult.UNKNOWN] ?: 0) + (result[CallResult.BROKEN] ?: 0),
        wrongAnswers = result[CallResult.WRONG] ?: 0,
        doubled = check.doubled().size,
        falseNotRun = check.falseNotRun().size,
        violations = check.violations().size,
        newWorkAfterLeaveMillis = leaves.maxOfOrNull { check.newWorkAfterMillis(it) } ?: 0,
        configurationInForceMillis = measurement.configurationInForceMillis,
        timeToFirstTokenP95Millis = PhaseMillis(
            before = measurement.firstTokenP95 { it in measurement.warmMillis until measurement.faultBeganMillis },
            during = measurement.firstTokenP95 { it in measurement.faultBeganMillis..measurement.faultEndedMillis },
            after = measurement.firstTokenP95 { it > measurement.faultEndedMillis },
        ),
    )
}

private fun Measurement.firstTokenP95(isInPhase: (Long) -> Boolean): Long = calls
    .filter { it.kind == CallKind.STREAMED && it.outcome.result == CallResult.ANSWERED && isInPhase(it.startedMillis) }
    .map { it.outcome.firstTokenMillis }.sorted().share(HIGH)

private const val HIGH = 0.95
