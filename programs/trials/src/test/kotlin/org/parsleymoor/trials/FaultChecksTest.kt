package org.parsleymoor.trials

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.single
import strikt.assertions.startsWith

/** Guards against an experiment that passes although a target is missed. */
class FaultChecksTest {
    private val good = FaultReport(
        requests = 1_000,
        answered = 1_000,
        refused = 0,
        unknown = 0,
        wrongAnswers = 0,
        doubled = 0,
        falseNotRun = 0,
        violations = 0,
        newWorkAfterLeaveMillis = 3_000,
        configurationInForceMillis = 5_000,
        timeToFirstTokenP95Millis = PhaseMillis(1, 1, 1),
    )

    private fun failures(
        report: FaultReport,
        name: FaultName = FaultName.STORE_KILLED,
        calls: List<CallRecord> = emptyList(),
    ) = FaultChecks(name, emptyList()).failures(report, calls)

    private fun call(kind: CallKind, result: CallResult, movedOn: Boolean = false): CallRecord {
        val repeatable = kind in setOf(CallKind.STREAMED, CallKind.WHOLE, CallKind.READ)
        return CallRecord(kind, Outcome("estate-1", "", "", repeatable, result, 0, ""), 0, movedOn)
    }

    @Test
    fun `a report that meets every target passes`() {
        expectThat(failures(good)).isEmpty()
    }

    @Test
    fun `each field that is not zero is named`() {
        expectThat(failures(good.copy(wrongAnswers = 1))).single().startsWith("wrongAnswers")
        expectThat(failures(good.copy(doubled = 1))).single().startsWith("doubled")
        expectThat(failures(good.copy(falseNotRun = 1))).single().startsWith("falseNotRun")
        expectThat(failures(good.copy(violations = 1))).single().startsWith("violations")
    }

    @Test
    fun `work or a change that comes too late is named`() {
        expectThat(failures(good.copy(newWorkAfterLeaveMillis = 3_001))).single().startsWith("newWorkAfterLeaveMillis")
        expectThat(failures(good.copy(configurationInForceMillis = 5_001))).single()
            .startsWith("configurationInForceMillis")
    }

    @Test
    fun `a planned stop fails on a broken call and not on a key whose issuer has left`() {
        val broken = listOf(call(CallKind.STREAMED, CallResult.BROKEN))
        expectThat(failures(good, FaultName.PLANNED_STOP, broken)).single().startsWith("interrupted")
        val unknown = listOf(call(CallKind.TICKET, CallResult.UNKNOWN))
        expectThat(failures(good, FaultName.PLANNED_STOP, unknown)).hasSize(1)
        val left =
            listOf(call(CallKind.REPEAT, CallResult.UNKNOWN), call(CallKind.TICKET, CallResult.UNKNOWN, movedOn = true))
        expectThat(failures(good, FaultName.PLANNED_STOP, left)).isEmpty()
    }

    @Test
    fun `a killed gateway fails when more than one repeatable call of a thousand is not answered`() {
        val answered = List(998) { call(CallKind.WHOLE, CallResult.ANSWERED) }
        val one = answered + call(CallKind.READ, CallResult.ANSWERED) + call(CallKind.STREAMED, CallResult.BROKEN)
        expectThat(failures(good, FaultName.GATEWAY_KILLED, one)).isEmpty()
        val two = answered + List(2) { call(CallKind.STREAMED, CallResult.BROKEN) }
        expectThat(failures(good, FaultName.GATEWAY_KILLED, two)).single().startsWith("repeatable")
    }
}
