package org.parsleymoor.explore

import org.parsleymoor.execution.atmostonce.ClaimAction
import org.parsleymoor.execution.atmostonce.ClaimEvent
import org.parsleymoor.execution.atmostonce.ClaimHead
import org.parsleymoor.execution.atmostonce.StoredHead

/** Carries out the platform calls of claims for one instance. */
internal class ClaimClient(
    private val world: ExecutionWorld,
    private val host: Host,
    private val report: (ClaimEvent) -> Unit,
) {
    fun perform(action: ClaimAction) = when (action) {
        is ClaimAction.ReadHead -> readHead(action)
        is ClaimAction.ReadSegment -> readSegment(action)
        is ClaimAction.WriteHead -> writeHead(action)
        is ClaimAction.WriteSegment -> writeSegment(action)
        is ClaimAction.DeleteSegment, is ClaimAction.Execute -> Unit
    }

    private fun readHead(action: ClaimAction.ReadHead) = world.heads.read(
        host,
        action.shard.toString(),
        onReply = { report(ClaimEvent.HeadRead(action.shard, it?.asHead())) },
        onFailure = { report(ClaimEvent.ReadFailed(action.shard)) },
    )

    private fun readSegment(action: ClaimAction.ReadSegment) = world.segments.read(
        host,
        "${action.shard}.${action.number}",
        onReply = { report(ClaimEvent.SegmentRead(action.shard, action.number, checkNotNull(it).value)) },
        onFailure = { report(ClaimEvent.ReadFailed(action.shard)) },
    )

    private fun writeHead(action: ClaimAction.WriteHead) {
        world.note { "${action.writeId} writes ${action.head} at version ${action.expectedVersion}" }
        val next = SimulatedObject(action.head, action.expectedVersion, action.writeId)
        world.heads.write(host, action.shard.toString(), next) { report(eventOf(action, it)) }
    }

    private fun eventOf(action: ClaimAction.WriteHead, reply: WriteReply<ClaimHead>): ClaimEvent = when (reply) {
        is WriteReply.Written -> ClaimEvent.HeadWritten(action.shard, action.writeId, reply.version)
        is WriteReply.Failed -> ClaimEvent.HeadWriteFailed(action.shard, action.writeId, reply.mayHaveTakenEffect)
        is WriteReply.Conflicted ->
            if (world.isFaulty(SeededFault.CLAIM_CONFLICT_IGNORED)) {
                ClaimEvent.HeadWritten(action.shard, action.writeId, action.expectedVersion + 1)
            } else {
                ClaimEvent.HeadConflicted(action.shard, action.writeId, reply.current?.asHead())
            }
    }

    private fun writeSegment(action: ClaimAction.WriteSegment) {
        val next = SimulatedObject(action.claims, 0, "segment")
        world.segments.write(host, "${action.shard}.${action.number}", next) { reply ->
            when (reply) {
                is WriteReply.Failed -> report(ClaimEvent.SegmentWriteFailed(action.shard, action.number))
                is WriteReply.Conflicted, is WriteReply.Written ->
                    report(ClaimEvent.SegmentWritten(action.shard, action.number))
            }
        }
    }

    private fun SimulatedObject<ClaimHead>.asHead() = StoredHead(value, version, writeId)
}
