package org.parsleymoor.bench.slopes

import org.parsleymoor.coordination.Member
import org.parsleymoor.coordination.Membership
import org.parsleymoor.coordination.MembershipEvent
import org.parsleymoor.core.Incarnation
import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.RegionId
import org.parsleymoor.core.ZoneId

/** What the membership view of one gateway keeps and computes at each number of daemons. */
internal data class MembershipSlopes(
    val bytes: Slope,
    val neighbours: Slope,
    val millisPerList: Slope,
    val microsecondsPerHeartbeat: Slope,
)

/** Feeds a membership with the platform's list and the heartbeats of its neighbours for [seconds] virtual seconds. */
internal class MembershipMeasurement(private val sizes: List<Int>, private val seconds: Int) {
    fun measure(): MembershipSlopes {
        val runs = sizes.associateWith { run(it) }
        fun slope(name: String, unit: String, value: (Run) -> Double) =
            Slope(name, "daemons", unit, runs.map { (size, run) -> SlopePoint(size, value(run)) })
        return MembershipSlopes(
            bytes = slope("membership-memory", "bytes") { it.bytes },
            neighbours = slope("membership-neighbours", "connections kept per daemon") { it.neighbours },
            millisPerList = slope("membership-list-processor", "ms per list of the platform") { it.millisPerList },
            microsecondsPerHeartbeat = slope("membership-heartbeat-processor", "us per heartbeat") {
                it.microsecondsPerHeartbeat
            },
        )
    }

    private fun run(daemons: Int): Run {
        val members = List(daemons) { member(it) }
        val retained = ProcessMeter.retainedBytes {
            Membership(members.first()).also { it.handle(0, MembershipEvent.Listed(members.map { one -> one.copy() })) }
        }
        val membership = retained.result
        val neighbours = members.filter { it.instance in membership.neighbours }
        val listNanos = warmed { repeat(LISTS) { membership.handle(0, MembershipEvent.Listed(members)) } }
        val heartbeatNanos = warmed { repeat(seconds) { second -> beat(membership, neighbours, second) } }
        return Run(
            bytes = retained.bytes.toDouble(),
            neighbours = neighbours.size.toDouble(),
            millisPerList = listNanos / NANOS_PER_MILLISECOND / LISTS,
            microsecondsPerHeartbeat = heartbeatNanos / NANOS_PER_MICROSECOND / seconds / neighbours.size,
        )
    }

    private fun warmed(work: () -> Unit): Long {
        work()
        return ProcessMeter.threadNanos(work)
    }

    private fun beat(membership: Membership, neighbours: List<Member>, second: Int) = neighbours.forEach {
        membership.handle(
            second * MILLIS_PER_SECOND,
            MembershipEvent.HeartbeatReceived(it, Incarnation(it.instance, 1))
        )
    }

    private fun member(index: Int) = Member(
        instance = InstanceId("gateway-$index"),
        zone = ZoneId("zone-${index % ZONES}"),
        region = RegionId("region-${index % ZONES % REGIONS}"),
        peerAddress = "10.0.${index / HOSTS}.${index % HOSTS}:7400",
    )

    private data class Run(
        val bytes: Double,
        val neighbours: Double,
        val millisPerList: Double,
        val microsecondsPerHeartbeat: Double,
    )

    private companion object {
        const val ZONES = 29
        const val REGIONS = 8
        const val HOSTS = 250
        const val LISTS = 20
        const val MILLIS_PER_SECOND = 1_000L
        const val NANOS_PER_MILLISECOND = 1e6
        const val NANOS_PER_MICROSECOND = 1_000.0
    }
}
