package org.parsleymoor.explore

import org.parsleymoor.core.Incarnation
import org.parsleymoor.execution.atmostonce.ExecutionAnswer
import org.parsleymoor.execution.atmostonce.KeyedCall
import org.parsleymoor.execution.atmostonce.NotRunReason
import org.parsleymoor.execution.atmostonce.RunOutcome
import org.parsleymoor.execution.atmostonce.ServiceResponse
import org.parsleymoor.execution.atmostonce.UnknownReason

/** Carries calls of one instance to the service and to other instances. */
internal class CallCarrier(private val world: ExecutionWorld, private val host: Host) {
    /** Sends [call] to the process [to]; answers unknown when no answer comes. */
    fun forward(call: KeyedCall, to: Incarnation, reply: (ExecutionAnswer) -> Unit) {
        var replied = false
        fun once(answer: ExecutionAnswer) {
            if (!replied) reply(answer)
            replied = true
        }
        val receive = host.callback<ExecutionAnswer> { once(it) }
        host.after(FORWARD_MILLIS) { once(unanswered()) }
        world.carry {
            val peer = world.find(to)
            peer?.host?.bound {
                peer.execute(call) { answer -> world.carry { receive(answer) } }
            }?.invoke()
        }
    }

    private fun unanswered(): ExecutionAnswer =
        if (world.isFaulty(SeededFault.LOST_FORWARD_REPORTED_NOT_RUN)) {
            ExecutionAnswer.NotRun(NotRunReason.ENDPOINT_REFUSED)
        } else {
            ExecutionAnswer.Unknown(UnknownReason.NO_ANSWER_FROM_PEER)
        }

    /** Sends the call to the service, once. The connection may fail before a byte is written, or at any time later. */
    fun dispatch(call: KeyedCall, finish: (KeyedCall, RunOutcome) -> Unit) {
        val end = host.callback<RunOutcome> { finish(call, it) }
        val unknown = { world.scheduler.after(LATE_MILLIS) { end(RunOutcome.Unknown) } }
        world.note { "${host.incarnation} dispatches ${call.request} with key ${call.key}" }
        if (world.chance.happens(world.hazards.loss)) return host.after(1) { finish(call, RunOutcome.NotRun) }
        world.carryOnce(LATE_MILLIS, lost = unknown) {
            world.run(call)
            val response = ServiceResponse(STATUS, call.key, ByteArray(0))
            world.carryOnce(LATE_MILLIS, lost = unknown) {
                end(RunOutcome.Responded(response))
            }
        }
    }

    private companion object {
        const val FORWARD_MILLIS = 5_000L
        const val LATE_MILLIS = 3_000L
        const val STATUS = 200
    }
}
