package org.parsleymoor.explore

import org.parsleymoor.coordination.LeaseAction
import org.parsleymoor.coordination.LeaseEvent
import org.parsleymoor.coordination.LeaseRecord
import org.parsleymoor.coordination.StoredLease

/** Carries out the platform calls of leases for one instance. */
internal class LeaseClient(
    private val world: World,
    private val platform: SimulatedPlatform<LeaseRecord>,
    private val host: Host,
) {
    fun perform(action: LeaseAction, report: (LeaseEvent) -> Unit) = when (action) {
        is LeaseAction.Read -> platform.read(
            host,
            action.name,
            onReply = { report(LeaseEvent.Seen(it?.asLease())) },
            onFailure = { report(LeaseEvent.ReadFailed) },
        )
        is LeaseAction.Write -> {
            val next = SimulatedObject(action.record, action.expectedVersion, action.writeId)
            platform.write(host, action.name, next) { report(eventOf(action, it)) }
        }
    }

    private fun eventOf(action: LeaseAction.Write, reply: WriteReply<LeaseRecord>): LeaseEvent = when (reply) {
        is WriteReply.Written -> LeaseEvent.Written(action.writeId, reply.version)
        is WriteReply.Failed -> LeaseEvent.WriteFailed(action.writeId, reply.mayHaveTakenEffect)
        is WriteReply.Conflicted ->
            if (world.isFaulty(SeededFault.LEASE_CONFLICT_IGNORED)) {
                LeaseEvent.Written(action.writeId, action.expectedVersion + 1)
            } else {
                LeaseEvent.Conflicted(action.writeId, reply.current?.asLease())
            }
    }
}

internal fun SimulatedObject<LeaseRecord>.asLease() = StoredLease(value, version, writeId)
