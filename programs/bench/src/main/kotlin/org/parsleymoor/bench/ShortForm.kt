package org.parsleymoor.bench

import kotlin.math.roundToInt

/**
 * A quarter of the contexts in a quarter of the time, so that the load stays the same: the form that the build runs.
 * The stores shrink with the contexts. The engines' memory shrinks by half only, since the sessions that are active at
 * one time do not shrink.
 */
internal fun Workload.shortForm(): Workload = copy(
    engines = engines.copy(cachePieces = engines.cachePieces / 2),
    stores = stores.copy(memoryPieces = quarter(stores.memoryPieces), diskPieces = quarter(stores.diskPieces)),
    traffic = traffic.copy(
        burstMinutes = traffic.burstMinutes / SHRINK,
        jitterMinutes = traffic.jitterMinutes / SHRINK,
    ),
    organisations = organisations.map {
        it.copy(contexts = quarter(it.contexts), oneOffsPerBurst = quarter(it.oneOffsPerBurst))
    },
    zoneOut = zoneOut.copy(minutes = zoneOut.minutes / SHRINK),
)

private fun quarter(count: Int): Int = maxOf(1, (count / SHRINK).roundToInt())

private const val SHRINK = 4.0
