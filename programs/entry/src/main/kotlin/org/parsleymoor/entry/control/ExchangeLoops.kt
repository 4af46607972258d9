package org.parsleymoor.entry.control

import org.parsleymoor.entry.protocol.ObjectKind

/** The exchange with [peers], and the loops that call engines and KV cache stores on the schedules that peers share. */
internal class ExchangeLoops(context: ControlContext, private val peers: Peers, lease: OrderLease) {
    private val engineLoads = EngineLoadLoop(context, peers)
    private val rollouts = RolloutLoop(context, lease, peers) { context.deployment.releases.hasOpenOrders }
    private val cacheStores = CacheStoreLoop(context, peers)

    /** Starts the loops with [loops]; peers exchange the objects of [watches]. */
    fun start(loops: LoopSupervisor, watches: Map<ObjectKind, ObjectWatch>) {
        loops.start("peers") { peers.run(watches) }
        loops.start("engine loads") { engineLoads.run() }
        loops.start("rollouts") { rollouts.run() }
        loops.start("cache stores") { cacheStores.run() }
    }
}
