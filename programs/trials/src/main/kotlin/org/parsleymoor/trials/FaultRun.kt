package org.parsleymoor.trials

/** The figures of an experiment, the targets it missed, and what helps to find out why. */
internal class FaultResult(val report: FaultReport, val failures: List<String>, val details: List<String>)

/** Runs the experiment [name] with [fleet], which it starts and closes. */
internal class FaultRun(
    private val fleet: Fleet,
    private val name: FaultName,
    private val seed: Long,
    private val times: ExperimentTimes = ExperimentTimes(),
) : AutoCloseable {
    private val onExit = Thread { fleet.close() }

    /** Returns when the experiment is over; throws [IllegalStateException] when the fleet does not start. */
    fun run(): FaultResult {
        Runtime.getRuntime().addShutdownHook(onExit)
        fleet.start()
        val changes = Changes(fleet)
        val rounds = FaultDraw(fleet, changes, seed).rounds(name)
        val measurement = LoadBalancer(fleet.gateways).use { balancer ->
            FaultExperiment(FaultTraffic(balancer, seed, REQUESTS_PER_SECOND), changes, rounds, times).run()
        }
        val check = JournalCheck(fleet, measurement.calls.map { it.outcome })
        val leaves = rounds.flatten().filterIsInstance<ZoneOut>().mapNotNull { it.leave }
        val report = faultReport(measurement, check, leaves)
        val failures = FaultChecks(name, rounds.flatten()).failures(report, measurement.calls)
        return FaultResult(report, failures, details(measurement, check))
    }

    override fun close() {
        fleet.close()
        Runtime.getRuntime().removeShutdownHook(onExit)
    }

    private fun details(measurement: Measurement, check: JournalCheck): List<String> {
        val others = measurement.calls.filter { it.outcome.result != CallResult.ANSWERED }
            .groupingBy { "${it.kind} ${it.outcome.result}${if (it.movedOn) " moved" else ""}: ${it.outcome.detail}" }
            .eachCount().entries.sortedByDescending { it.value }.map { "${it.value} x ${it.key}" }
        return check.faults().take(SHOWN) + others.take(SHOWN)
    }

    private companion object {
        const val REQUESTS_PER_SECOND = 30
        const val SHOWN = 12
    }
}
