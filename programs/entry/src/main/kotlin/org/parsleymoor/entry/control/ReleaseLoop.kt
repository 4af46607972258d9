package org.parsleymoor.entry.control

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import kotlinx.coroutines.launch
import org.parsleymoor.entry.protocol.ReleaseProtocol
import org.parsleymoor.entry.serving.DeploymentView
import org.parsleymoor.relay.exchange.PeerUpdate
import org.parsleymoor.relay.release.ReleaseAction
import org.parsleymoor.relay.release.ReleaseDirector

/** How [ReleaseLoop] writes the status of orders: as calls of [protocol] to [store]. */
internal class ReleaseStore(private val store: ObjectStore, private val protocol: ReleaseProtocol) {
    /** Writes what [action] says if the order was not changed meanwhile. */
    suspend fun write(action: ReleaseAction.Write): Result<StoredVersion, StoreFailure> =
        store.write(protocol.replaceStatus(action.order.service, action.status, action.revision))
}

/**
 * Reports to peers what this instance sees of releases whose traffic moves, and, while this instance holds the order
 * [lease], decides how far it moves and writes the status of the orders.
 */
internal class ReleaseLoop(
    private val deployment: DeploymentView,
    private val runtime: ControlRuntime,
    private val store: ReleaseStore,
    private val lease: OrderLease,
    private val log: ReleaseLog,
) {
    private val releases = deployment.releases
    private val clock = runtime.clock
    private val director = ReleaseDirector(deployment.self, releases)
    private val writing = HashSet<String>()
    private val writtenMillis = HashMap<String, Long>()
    private var reportedMillis = NEVER

    init {
        releases.onEnd = { order, end ->
            // A report at once makes the others follow.
            reportedMillis = NEVER
            log.ended(order, end)
        }
    }

    /** Runs until the coroutine is cancelled. */
    suspend fun run() {
        while (true) {
            step()
            runtime.ticks.await(UPDATE_TICKS)
        }
    }

    private fun step() {
        val nowMillis = clock.nowMillis()
        releases.update(deployment.endpoints, nowMillis)
        if (!releases.hasOpenOrders) return
        if (nowMillis - reportedMillis >= releases.reportMillis) {
            reportedMillis = nowMillis
            releases.reports(deployment.endpoints, nowMillis)
                .forEach { deployment.announce(PeerUpdate.ReleaseReported(it)) }
        }
        val held = lease.held()
        if (held == null) director.leaseEnded() else direct(held.fencingToken, nowMillis)
    }

    private fun direct(token: Long, nowMillis: Long) {
        director.direct(token, deployment.endpoints, nowMillis).forEach { action ->
            when (action) {
                is ReleaseAction.Announce -> deployment.announce(PeerUpdate.ReleaseDecided(action.step))
                is ReleaseAction.Write -> write(action, nowMillis)
            }
        }
        log.decided(director.decisions, nowMillis)
    }

    /** Writes the status, unless a write is under way or was just made that the watch has not shown yet. */
    private fun write(action: ReleaseAction.Write, nowMillis: Long) {
        val service = action.order.service
        val lastMillis = writtenMillis[service] ?: NEVER
        if (service in writing || nowMillis - lastMillis < REWRITE_MILLIS) return
        writing += service
        runtime.scope.launch {
            try {
                store.write(action)
                    .onSuccess { log.written(action, failure = null) }
                    .onFailure { log.written(action, it.message) }
            } finally {
                writing -= service
                writtenMillis[service] = clock.nowMillis()
            }
        }
    }

    private companion object {
        // Two or three updates of the endpoints and reports in a step of the traffic.
        const val UPDATE_TICKS = 3

        // The watch of this instance shows its own write within this time.
        const val REWRITE_MILLIS = 500L
        const val NEVER = Long.MIN_VALUE / 2
    }
}
