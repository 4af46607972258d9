package org.parsleymoor.explore

import org.parsleymoor.coordination.EngineState
import org.parsleymoor.coordination.Fencing
import org.parsleymoor.coordination.OrderOutcome
import org.parsleymoor.coordination.OrderTarget
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.WeightVersion

/** An engine that follows orders. It keeps the highest fencing token over a restart. */
internal class SimulatedEngine(private val world: World, number: Int, val fencing: Fencing) {
    val name = EndpointId("engine-$number")
    private var version = WeightVersion("1")
    private var loading: WeightVersion? = null
    private var loadNumber = 0
    private var highestToken = 0L

    val state: EngineState<WeightVersion> get() = EngineState(version, loading)

    fun target(version: WeightVersion): OrderTarget<WeightVersion> = OrderTarget(name, version, fencing)

    fun order(token: Long, desired: WeightVersion): OrderOutcome {
        world.note { "$name gets an order for version $desired with token $token, has seen $highestToken" }
        if (token < highestToken) {
            if (fencing == Fencing.CHECKED && !world.isFaulty(SeededFault.FENCING_CHECK_DROPPED)) {
                return OrderOutcome.STALE
            }
            world.violate("orders", "$name follows no order of an earlier holder", "token $token after $highestToken")
        }
        highestToken = maxOf(highestToken, token)
        if (desired != (loading ?: version)) load(desired)
        return OrderOutcome.ACCEPTED
    }

    fun restart() {
        world.note { "$name restarts" }
        loadNumber++
        loading = null
    }

    private fun load(desired: WeightVersion) {
        val number = ++loadNumber
        loading = desired
        world.scheduler.after(world.chance.between(FASTEST_LOAD_MILLIS, SLOWEST_LOAD_MILLIS)) {
            if (number == loadNumber) {
                version = desired
                loading = null
            }
        }
    }

    private companion object {
        const val FASTEST_LOAD_MILLIS = 800L
        const val SLOWEST_LOAD_MILLIS = 3_000L
    }
}
