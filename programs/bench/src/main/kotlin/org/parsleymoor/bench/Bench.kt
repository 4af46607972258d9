package org.parsleymoor.bench

/** Runs [workload] for a seed under any of the policies; requests and bounds are computed once. */
internal class Bench(private val workload: Workload, private val seed: Long) {
    private val requests: List<SimulatedRequest> by lazy { Arrivals(workload, seed).requests() }
    private val bounds: OfflineBounds by lazy { OfflineOptimum(workload, requests).bounds() }

    fun run(policy: String, zoneOut: Boolean = false, retention: String = "return-aware"): BenchResult {
        val measures = Simulation(workload, RunOptions(policy, seed, zoneOut, retention)).run(requests)
        return result(policy, measures)
    }

    private fun result(policy: String, measures: Measures): BenchResult {
        val from = workload.zoneOut.atHours * MILLIS_PER_HOUR
        val to = from + workload.zoneOut.minutes * MILLIS_PER_MINUTE
        return BenchResult(
            workload = workload.name,
            policy = policy,
            seed = seed,
            requests = measures.requests,
            answered = measures.answered,
            refused = measures.refused,
            timeToFirstTokenP50Millis = measures.timeToFirstToken(P50),
            timeToFirstTokenP95Millis = measures.timeToFirstToken(P95),
            timeToFirstTokenP99Millis = measures.timeToFirstToken(P99),
            recomputedShare = measures.recomputedShare,
            computedAgainShare = measures.computedAgainShare,
            regionLinkBytes = measures.regionLinkBytes,
            violations = measures.violations,
            idleTimeToFirstTokenP95Millis = bounds.idleTimeToFirstTokenP95Millis,
            optimalRecomputedShare = bounds.optimalRecomputedShare,
            minimalRegionLinkBytes = bounds.minimalRegionLinkBytes,
            zoneOutTimeToFirstTokenP95Millis = measures.timeToFirstToken(P95, from, to),
        )
    }
}
