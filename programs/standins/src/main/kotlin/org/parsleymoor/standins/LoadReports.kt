package org.parsleymoor.standins

import org.parsleymoor.clients.EngineLoad

/** Load reports that show [lagMillis] after they were taken. */
internal class LoadReports(private val lagMillis: Long) {
    private val reports = ArrayDeque<EngineLoad>()

    fun add(report: EngineLoad) {
        reports += report
    }

    /** The newest report that is old enough to show, or else the oldest. */
    fun shown(nowMillis: Long): EngineLoad? {
        while (reports.size > 1 && reports[1].reportedAtMillis + lagMillis <= nowMillis) reports.removeFirst()
        return reports.firstOrNull()
    }
}
