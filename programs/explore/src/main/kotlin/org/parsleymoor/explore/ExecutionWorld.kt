package org.parsleymoor.explore

import org.parsleymoor.core.Incarnation
import org.parsleymoor.execution.atmostonce.Claim
import org.parsleymoor.execution.atmostonce.ClaimHead
import org.parsleymoor.execution.atmostonce.ExecutionAnswer
import org.parsleymoor.execution.atmostonce.KeyedCall

/** Gateways that run non-repeatable calls at most once, under tickets and claims (I6, I7, I8). */
internal class ExecutionWorld(settings: HistorySettings) : World(settings) {
    val heads = SimulatedPlatform<ClaimHead>(this)
    val segments = SimulatedPlatform<List<Claim>>(this)
    val service = ServiceModel(this)
    val callers = Callers(this)
    val processes = (0 until GATEWAYS).map { ExecutionProcess(this, Host(this, it)) }

    init {
        processes.forEach { it.host.start() }
        processes.forEach { it.host.sufferHazards() }
        heads.sufferHazards()
        segments.sufferHazards()
        callers.start()
    }

    /** Returns the process [incarnation], or null when it is gone. */
    fun find(incarnation: Incarnation): ExecutionProcess? = processes.find { it.host.incarnation == incarnation }

    /** Runs [call] at the service. */
    fun run(call: KeyedCall) {
        service.run(call)
        callers.check(call.request)
    }

    /** Answers [call] to its caller. */
    fun answer(call: KeyedCall, answer: ExecutionAnswer) {
        callers.accept(call, answer)
        if (service.hasRun(call.request)) callers.check(call.request)
    }

    override fun check() {
        // Runs and answers are checked as they happen.
    }

    private companion object {
        const val GATEWAYS = 4
    }
}
