package org.parsleymoor.bench.slopes

/** Measures every slope of the capacity page in this process. */
public fun measureSlopes(form: SlopeForm): List<Slope> {
    val peers = PeerControlMeasurement(form.daemons, form.seconds).measure()
    val membership = MembershipMeasurement(form.listedDaemons, form.repetitions).measure()
    val loads = LoadViewMeasurement(form.replicas, form.repetitions).measure()
    val placement = PlacementMeasurement(form.replicas, form.repetitions * DECISIONS_PER_REPETITION).measure()
    val configuration = ConfigurationMeasurement(form.repetitions)
    val byOrganisations = configuration.byOrganisations(form.organisations)
    val byEndpoints = configuration.byEndpoints(form.replicas)
    val directory = DirectoryMeasurement(form.contexts).measure()
    return listOf(
        peers.bytesPerSecond, peers.processorShare, peers.connections,
        membership.bytes, membership.neighbours, membership.millisPerList, membership.microsecondsPerHeartbeat,
        loads.bytes, loads.microsecondsPerReport, placement,
        byOrganisations.totalBytes, byOrganisations.changeBytes, byOrganisations.millisPerChange,
        byEndpoints.totalBytes, byEndpoints.changeBytes, byEndpoints.millisPerChange,
        directory.bytes, directory.microsecondsPerEvent,
    )
}

private const val DECISIONS_PER_REPETITION = 100
