package org.parsleymoor.explore

import kotlinx.serialization.Serializable
import org.parsleymoor.core.Incarnation
import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.OrganisationId
import org.parsleymoor.core.RequestId
import org.parsleymoor.execution.atmostonce.ClaimAction
import org.parsleymoor.execution.atmostonce.ClaimEvent
import org.parsleymoor.execution.atmostonce.ClaimHead
import org.parsleymoor.execution.atmostonce.ClaimLedger
import org.parsleymoor.execution.atmostonce.ClaimSettings
import org.parsleymoor.execution.atmostonce.ExecutionAction
import org.parsleymoor.execution.atmostonce.KeyedCall

/** What claims cost the platform at one rate of calls. */
@Serializable
internal data class ClaimLoadResult(
    val callsPerSecond: Long,
    val calls: Long,
    val headWrites: Long,
    val writesPerCall: Double,
    val writesPerSecond: Double,
    val claimsPerWrittenHead: Double,
    val claimWaitP50Millis: Long,
    val claimWaitP99Millis: Long,
)

/** Measures one ledger that owns every shard, in front of a platform that answers a write after [LATENCY_MILLIS]. */
internal class ClaimLoad(private val callsPerSecond: Long, seed: Long) {
    private val chance = Chance(seed)
    private val scheduler = Scheduler()
    private val ledger = ClaimLedger(Incarnation(InstanceId("gateway-0"), 1), ClaimSettings())
    private val calledMillis = HashMap<RequestId, Long>()
    private val waits = ArrayList<Long>()
    private var writes = 0L
    private var claimsWritten = 0L

    /** Runs for [RUN_MILLIS] of virtual time. */
    fun run(): ClaimLoadResult {
        arrive(0)
        tick()
        while (scheduler.nowMillis < RUN_MILLIS && scheduler.step()) Unit
        waits.sort()
        return ClaimLoadResult(
            callsPerSecond,
            waits.size.toLong(),
            writes,
            writes.toDouble() / waits.size,
            writes * MILLIS_PER_SECOND / RUN_MILLIS,
            claimsWritten.toDouble() / writes,
            waits[waits.size / 2],
            waits[waits.size * NINETY_NINE / HUNDRED],
        )
    }

    private fun arrive(number: Long) {
        val call = KeyedCall(RequestId("request-$number"), OrganisationId("estate"), "key-$number", "fingerprint")
        calledMillis[call.request] = scheduler.nowMillis
        ledger.call(scheduler.nowMillis, call).forEach { perform(it) }
        val gapMillis = (number + 1) * MILLIS_PER_SECOND.toLong() / callsPerSecond - scheduler.nowMillis
        scheduler.after(maxOf(gapMillis + chance.between(0, 1), 0)) { arrive(number + 1) }
    }

    private fun tick() {
        ledger.tick(scheduler.nowMillis).forEach { perform(it) }
        scheduler.after(TICK_MILLIS) { tick() }
    }

    private fun perform(action: ClaimAction) {
        when (action) {
            is ClaimAction.Execute -> record(action.action)
            is ClaimAction.ReadHead -> reply(ClaimEvent.HeadRead(action.shard, null))
            is ClaimAction.WriteHead -> write(action)
            is ClaimAction.WriteSegment -> reply(ClaimEvent.SegmentWritten(action.shard, action.number))
            is ClaimAction.ReadSegment, is ClaimAction.DeleteSegment -> Unit
        }
    }

    private fun record(action: ExecutionAction) {
        if (action !is ExecutionAction.Run) return
        waits += scheduler.nowMillis - calledMillis.getValue(action.call.request)
    }

    private fun write(action: ClaimAction.WriteHead) {
        writes++
        claimsWritten += sizeOf(action.head)
        reply(ClaimEvent.HeadWritten(action.shard, action.writeId, action.expectedVersion + 1))
    }

    private fun sizeOf(head: ClaimHead): Int = head.claims.size

    private fun reply(event: ClaimEvent) {
        scheduler.after(LATENCY_MILLIS) { ledger.handle(scheduler.nowMillis, event).forEach { perform(it) } }
    }

    private companion object {
        const val LATENCY_MILLIS = 5L
        const val TICK_MILLIS = 10L
        const val RUN_MILLIS = 60_000L
        const val MILLIS_PER_SECOND = 1_000.0
        const val NINETY_NINE = 99
        const val HUNDRED = 100
    }
}
