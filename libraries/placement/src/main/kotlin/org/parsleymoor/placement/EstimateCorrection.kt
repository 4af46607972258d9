package org.parsleymoor.placement

import org.parsleymoor.core.EndpointId

/** Smooths the ratio of observed to estimated time to first token of each engine. Not thread-safe. */
public class EstimateCorrection(private val smoothing: Double = 0.05) {
    private val ratios = HashMap<String, Double>()

    /** Records one answer; skips estimates under [MINIMUM_ESTIMATE_MILLIS], which say nothing about the rate. */
    public fun record(endpoint: EndpointId, estimatedMillis: Double, observedMillis: Double) {
        if (estimatedMillis < MINIMUM_ESTIMATE_MILLIS) return
        val ratio = (observedMillis / estimatedMillis).coerceIn(MINIMUM_RATIO, MAXIMUM_RATIO)
        ratios.merge(endpoint.value, ratio) { smoothed, new -> smoothed + smoothing * (new - smoothed) }
    }

    /** Returns the factor by which to multiply estimates for [endpoint]; 1 before the first answer. */
    public fun factor(endpoint: EndpointId): Double = ratios[endpoint.value] ?: 1.0

    private companion object {
        const val MINIMUM_ESTIMATE_MILLIS = 20.0
        const val MINIMUM_RATIO = 0.5
        const val MAXIMUM_RATIO = 4.0
    }
}
