package org.parsleymoor.explore

import org.parsleymoor.coordination.Fencing
import org.parsleymoor.coordination.LeaseRecord
import org.parsleymoor.coordination.OrderTarget
import org.parsleymoor.core.WeightVersion

/** Gateways that compete for the lease on orders and move engines to the version that operators set. */
internal class LeaseWorld(settings: HistorySettings) : World(settings) {
    val platform = SimulatedPlatform<LeaseRecord>(this)
    private val checking = chance.pick(listOf(0, ENGINES / 2, ENGINES))
    val engines = (0 until ENGINES).map { number ->
        SimulatedEngine(this, number, if (number < checking) Fencing.CHECKED else Fencing.IGNORED)
    }
    private val processes = (0 until GATEWAYS).map { LeaseProcess(this, Host(this, it)) }
    private var desired = 1

    init {
        processes.forEach { it.host.start() }
        processes.forEach { it.host.sufferHazards() }
        platform.sufferHazards()
        platform.onChange = { _, changed -> processes.forEach { it.watch(changed) } }
        changeTarget()
        restartEngines()
    }

    fun targets(): List<OrderTarget<WeightVersion>> = engines.map { it.target(WeightVersion(desired.toString())) }

    override fun check() {
        val holders = processes.filter { it.held() != null }
        if (holders.size > 1) {
            violate(
                "leases",
                "at most one holder",
                holders.joinToString { "${it.host.incarnation} until ${it.held()}" }
            )
        }
        val loading = engines.count { it.state.loading != null }
        if (loading > MOST_LOADS) violate("rollouts", "at most $MOST_LOADS engines load", "$loading load")
    }

    override fun checkSettled() {
        val wrong = engines.filter { it.state.content.value != desired.toString() }
        if (wrong.isNotEmpty()) violate("orders", "version $desired", wrong.joinToString { "${it.name}: ${it.state}" })
    }

    private fun changeTarget() {
        scheduler.after(chance.between(SECOND_MILLIS, LONGEST_TARGET_MILLIS)) {
            if (hazards != Hazards.None) desired++
            note { "the desired version is $desired" }
            processes.forEach { it.retarget() }
            changeTarget()
        }
    }

    private fun restartEngines() {
        scheduler.after(SECOND_MILLIS) {
            if (chance.happens(hazards.restart)) chance.pick(engines).restart()
            restartEngines()
        }
    }

    private companion object {
        const val GATEWAYS = 4
        const val ENGINES = 5
        const val MOST_LOADS = 2
        const val SECOND_MILLIS = 1_000L
        const val LONGEST_TARGET_MILLIS = 15_000L
    }
}
