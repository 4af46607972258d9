package org.parsleymoor.trials

/** The parts of one measurement; rounds of both paths alternate, so that other load of the machine meets both. */
internal class LoadMeasurement(
    private val pair: LoadPair,
    calls: LoadCalls,
    private val concurrency: Int,
) {
    private val rounds = LoadRounds(calls, concurrency)
    private val full = LoadPath.entries.associateWith { LoadSample() }
    private val paced = LoadPath.entries.associateWith { LoadSample() }
    private var gatewayMicros = 0L

    /** Measures each path at full rate and at an even rate for [seconds] each, after a warm-up. */
    fun run(seconds: Int): LoadReport {
        val idle = ResidentMemory.megabytes(pair.gatewayId)
        val warmUp = LoadSample()
        LoadPath.entries.forEach { rounds.warmUp(it, WARM_UP_REQUESTS, WARM_UP_MILLIS, warmUp) }
        val millis = seconds * MILLIS_PER_SECOND / ROUNDS
        repeat(ROUNDS) { LoadPath.entries.forEach { fullRound(it, millis) } }
        val loaded = ResidentMemory.megabytes(pair.gatewayId)
        repeat(ROUNDS) { LoadPath.entries.forEach { pacedRound(it, millis) } }
        return report(seconds, idle, loaded, warmUp.wrong.get())
    }

    private fun fullRound(path: LoadPath, millis: Long) {
        val before = ProcessorTime.micros(pair.gatewayId)
        rounds.fullRate(path, millis, full.getValue(path))
        if (path == LoadPath.GATEWAY) gatewayMicros += ProcessorTime.micros(pair.gatewayId) - before
    }

    private fun pacedRound(path: LoadPath, millis: Long) =
        rounds.paced(path, LoadBounds.REQUESTS_PER_SECOND, millis, paced.getValue(path))

    private fun report(seconds: Int, idle: Long, loaded: Long, warmUpWrong: Int): LoadReport {
        val gateway = full.getValue(LoadPath.GATEWAY)
        val direct = paced.getValue(LoadPath.DIRECT)
        val through = paced.getValue(LoadPath.GATEWAY)
        val samples = full.values + paced.values
        return LoadReport(
            seconds = seconds,
            concurrency = concurrency,
            requests = samples.sumOf { it.requests },
            wrongAnswers = warmUpWrong + samples.sumOf { it.wrong.get() },
            directRequestsPerSecond = full.getValue(LoadPath.DIRECT).requestsPerSecond.toLong(),
            gatewayRequestsPerSecond = gateway.requestsPerSecond.toLong(),
            pacedRequestsPerSecond = LoadBounds.REQUESTS_PER_SECOND,
            directP50Micros = direct.percentile(MEDIAN),
            directP99Micros = direct.percentile(HIGH),
            addedP50Micros = through.percentile(MEDIAN) - direct.percentile(MEDIAN),
            addedP99Micros = through.percentile(HIGH) - direct.percentile(HIGH),
            idleMegabytes = idle,
            loadedMegabytes = loaded,
            processorMicrosPerRequest = gatewayMicros / maxOf(gateway.requests, 1),
        )
    }

    private companion object {
        const val ROUNDS = 5
        const val MILLIS_PER_SECOND = 1_000L

        // The virtual machine compiles the busiest code during the first thousands of requests; half of the processor
        // time of the gateway went there after 1,000.
        const val WARM_UP_REQUESTS = 6_000L
        const val WARM_UP_MILLIS = 30_000L
        const val MEDIAN = 50.0
        const val HIGH = 99.0
    }
}
