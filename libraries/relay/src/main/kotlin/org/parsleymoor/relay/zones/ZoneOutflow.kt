package org.parsleymoor.relay.zones

import org.parsleymoor.core.ZoneId
import kotlin.math.exp
import kotlin.random.Random

/**
 * The share of the requests of one zone that goes to each other zone at present. It follows the division of the demand
 * with a time constant of [SMOOTHING_MILLIS], and begins and ends at different levels. What is sent out does not change
 * what the callers of the zone ask for, so that the share does not swing, however late the reports are. Not
 * thread-safe.
 */
public class ZoneOutflow(private val random: Random = Random.Default) {
    private var smoothed: Map<ZoneId, Double> = emptyMap()
    private var updatedMillis: Long? = null

    /** Whether the zone sends requests out at present. */
    public var active: Boolean = false
        private set

    /** The share of the zone's requests that goes to each other zone; empty while none is sent out. */
    public val shares: Map<ZoneId, Double> get() = if (active) smoothed else emptyMap()

    /** Follows [flows] of the zone whose callers ask for [load]; returns whether [active] has changed. */
    public fun update(load: ZoneLoad, flows: Map<ZoneId, Double>, nowMillis: Long): Boolean {
        val wanted = if (load.demand > 0) flows.mapValues { it.value / load.demand } else emptyMap()
        val elapsed = updatedMillis?.let { nowMillis - it } ?: 0
        // A zone without engines has nothing to keep its requests for.
        val weight = if (load.capacity <= 0) 1.0 else 1 - exp(-elapsed / SMOOTHING_MILLIS)
        smoothed = (smoothed.keys + wanted.keys).associateWith { zone ->
            val before = smoothed[zone] ?: 0.0
            before + ((wanted[zone] ?: 0.0) - before) * weight
        }.filterValues { it > NEGLIGIBLE }
        updatedMillis = nowMillis
        val total = smoothed.values.sum()
        val before = active
        active = total >= if (active) END_SHARE else BEGIN_SHARE
        return active != before
    }

    /** Returns the zone to which the next request may go as if it were its own, or null to keep it. */
    public fun draw(): ZoneId? {
        var rest = random.nextDouble()
        return shares.entries.firstOrNull { (_, share) ->
            rest -= share
            rest < 0
        }?.key
    }

    private companion object {
        const val SMOOTHING_MILLIS = 200.0
        const val BEGIN_SHARE = 0.06
        const val END_SHARE = 0.02
        const val NEGLIGIBLE = 0.001
    }
}
