package org.parsleymoor.placement

import org.parsleymoor.core.EndpointId

/** Smooths the ratio of observed to estimated time to first token of each engine. Not safe for several threads. */
public class EstimateCorrection(private val smoothing: Double = 0.05) {
    private val ratios = HashMap<String, Double>()

    /** Takes in one answer; estimates under [SMALLEST_MILLIS] say nothing about the rate and are skipped. */
    public fun record(endpoint: EndpointId, estimatedMillis: Double, observedMillis: Double) {
        if (estimatedMillis < SMALLEST_MILLIS) return
        val ratio = (observedMillis / estimatedMillis).coerceIn(LOWEST, HIGHEST)
        ratios.merge(endpoint.value, ratio) { known, new -> known + smoothing * (new - known) }
    }

    /** Returns the factor for estimates of [endpoint]; 1 before the first answer. */
    public fun factor(endpoint: EndpointId): Double = ratios[endpoint.value] ?: 1.0

    private companion object {
        const val SMALLEST_MILLIS = 20.0
        const val LOWEST = 0.5
        const val HIGHEST = 4.0
    }
}
