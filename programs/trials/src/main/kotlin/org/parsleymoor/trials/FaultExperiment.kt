package org.parsleymoor.trials

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking

/** What one experiment has measured; the times are since the epoch. */
internal class Measurement(
    val calls: List<CallRecord>,
    val warmMillis: Long,
    val faultBeganMillis: Long,
    val faultEndedMillis: Long,
    val configurationInForceMillis: Long,
)

/**
 * How long traffic is sent without and after a fault. The engines start cold, so the answers of the warm-up say nothing
 * about the time before the fault.
 */
internal data class ExperimentTimes(
    val warmUpMillis: Long = 6_000,
    val beforeMillis: Long = 5_000,
    val afterMillis: Long = 5_000,
)

/** Sends traffic before, during and after [rounds] of faults, and changes the configuration during and after each. */
internal class FaultExperiment(
    private val traffic: FaultTraffic,
    private val changes: Changes,
    private val rounds: List<List<Fault>>,
    private val times: ExperimentTimes,
) {
    private var slowestChangeMillis = 0L

    /** Returns when all calls have ended. */
    fun run(): Measurement = runBlocking {
        val calls = async(Dispatchers.IO) { traffic.run() }
        try {
            Thread.sleep(times.warmUpMillis)
            val warm = System.currentTimeMillis()
            Thread.sleep(times.beforeMillis)
            val began = System.currentTimeMillis()
            rounds.forEach { runRound(it) }
            val ended = System.currentTimeMillis()
            change(emptySet())
            Thread.sleep(times.afterMillis)
            traffic.stop()
            Measurement(calls.await(), warm, began, ended, slowestChangeMillis)
        } finally {
            traffic.stop()
        }
    }

    private fun runRound(faults: List<Fault>) {
        faults.forEach { it.begin() }
        val until = System.currentTimeMillis() + faults.maxOf { it.lastsMillis }
        if (faults.all { it.platformAccepts }) change(faults.flatMap { it.unreachable }.toSet())
        Thread.sleep(maxOf(0, until - System.currentTimeMillis()))
        faults.reversed().forEach { it.end() }
    }

    private fun change(unreachable: Set<String>) {
        slowestChangeMillis = maxOf(slowestChangeMillis, changes.millisInForce(unreachable))
    }
}
