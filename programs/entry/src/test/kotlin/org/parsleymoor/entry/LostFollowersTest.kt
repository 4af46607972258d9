package org.parsleymoor.entry

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource
import org.parsleymoor.core.Clock
import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.ZoneId
import org.parsleymoor.entry.control.ControlRuntime
import org.parsleymoor.entry.control.ControlTicks
import org.parsleymoor.entry.control.Membership
import org.parsleymoor.entry.control.ObjectListener
import org.parsleymoor.entry.control.ObjectWatch
import org.parsleymoor.entry.control.PeerCopies
import org.parsleymoor.entry.control.StoreEra
import org.parsleymoor.entry.control.WatchContext
import org.parsleymoor.entry.control.WatchPolicy
import org.parsleymoor.entry.protocol.ObjectChange
import org.parsleymoor.entry.protocol.ObjectKind
import org.parsleymoor.entry.protocol.StoredObject
import org.parsleymoor.peering.PeerMessage
import org.parsleymoor.relay.exchange.Member
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random

/** Instances that rely on followers to read the object store, when these are lost in an outage of the store. */
@OptIn(ExperimentalCoroutinesApi::class)
class LostFollowersTest {
    private val memory = MemoryStore()

    // The last instance paused for up to eight seconds between its calls, as it relied on followers that were gone.
    @ParameterizedTest
    @ValueSource(booleans = [true, false])
    fun `an instance whose followers are lost in an outage applies a change in time after it`(silent: Boolean) {
        for (seed in 1..RUNS) runTest {
            val fleet = Fleet(this, INSTANCES, Random(seed))
            fleet.run(SETTLE_MILLIS)
            fleet.stop { it.policy.follows }
            if (silent) memory.unresponsive = true else memory.unavailable = true
            fleet.run(3_000L + seed * 100)
            memory.unresponsive = false
            memory.unavailable = false
            fleet.run(STABLE_MILLIS - APPLY_MILLIS)
            memory.put(ObjectKind.CONFIGURATION, "seed$seed", "1")
            fleet.run(APPLY_MILLIS)
            fleet.running.forEach { expectThat(it.names).contains("seed$seed") }
        }
    }

    // An instance with many others before it in its zone waited longer for them than a change may take.
    @Test
    fun `an instance whose zone and followers are lost applies each change in time`() = runTest {
        val fleet = Fleet(this, 59, Random(1))
        fleet.run(SETTLE_MILLIS)
        val last = fleet.running.maxBy { it.rank }
        fleet.stop { it !== last }
        repeat(20) {
            fleet.run(it * 130L)
            memory.put(ObjectKind.CONFIGURATION, "change$it", "1")
            fleet.run(APPLY_MILLIS)
            expectThat(last.names).contains("change$it")
        }
    }

    // Calls are billed: few of each instance. Those at the end of an outage, when the store returns, must be spread.
    @ParameterizedTest
    @CsvSource(
        "4, ALL", "9, ALL", "59, ALL", "124, ALL", "300, ALL",
        "4, ONE", "9, ONE", "59, ONE", "124, ONE", "300, ONE",
        "4, NONE", "9, NONE", "59, NONE", "124, NONE", "300, NONE",
        "4, ISOLATED", "9, ISOLATED", "59, ISOLATED", "124, ISOLATED", "300, ISOLATED",
    )
    fun `an outage of eight seconds costs few calls of each instance`(count: Int, followers: Followers) = runTest {
        val fleet = Fleet(this, count, Random(count))
        fleet.run(SETTLE_MILLIS)
        var kept = if (followers == Followers.ONE) 1 else 0
        if (followers == Followers.ONE || followers == Followers.NONE) {
            fleet.stop { it.policy.follows && kept-- <= 0 }
        }
        fleet.linked = followers != Followers.ISOLATED
        val (following, others) = fleet.running.partition { it.policy.follows }
        memory.unavailable = true
        val callsBefore = memory.calls
        fleet.run(OUTAGE_MILLIS - LAST_MILLIS)
        val lastCalls = (1..LAST_MILLIS / STEP_MILLIS).map { fleet.callsDuring(STEP_MILLIS) }
        val calls = memory.calls - callsBefore
        val most = lastCalls.max()
        println("$count instances, followers $followers: $calls calls in an outage, $most at most in $STEP_MILLIS ms")
        expectThat(calls).isLessThanOrEqualTo(following.size * FOLLOWER_CALLS + others.size * OTHER_CALLS)
        expectThat(most).isLessThanOrEqualTo(following.size * 2 + others.size / 3 + 2)
    }

    /** Which followers are running and heard in an outage. */
    enum class Followers { ALL, ONE, NONE, ISOLATED }

    private inner class Fleet(private val scope: TestScope, count: Int, random: Random) {
        private val zones = if (count < 6) 1 else 6
        private val members = (1..count).map { Member(InstanceId("i$it"), "i$it:1", ZoneId("z${it % zones}")) }
        private val all = members.map { Instance(scope, it, members, Random(random.nextInt())) }
        var linked = true
        val running: List<Instance> get() = all.filter { it.isRunning }

        fun stop(which: (Instance) -> Boolean) {
            running.filter(which).forEach { it.stop() }
        }

        /** Lets time pass while neighbours exchange messages. */
        fun run(millis: Long) {
            val untilMillis = scope.currentTime + millis
            while (scope.currentTime < untilMillis) {
                scope.advanceTimeBy(minOf(STEP_MILLIS, untilMillis - scope.currentTime))
                if (linked) exchange()
            }
        }

        /** Returns how many calls the store gets within [millis]. */
        fun callsDuring(millis: Long): Int {
            val callsBefore = memory.calls
            run(millis)
            return memory.calls - callsBefore
        }

        private fun exchange() {
            val byId = running.associateBy { it.member.id }
            byId.values.forEach { one ->
                one.neighbours(byId.keys).mapNotNull { byId[it] }.forEach {
                    one.sendTo(it)
                    it.sendTo(one)
                }
            }
        }
    }

    private inner class Instance(scope: TestScope, val member: Member, members: List<Member>, random: Random) {
        private val clock = Clock { scope.currentTime }
        private val membership = Membership(member).also { it.update(members) }
        private val loops = with(scope.backgroundScope.coroutineContext) { CoroutineScope(this + Job(job)) }
        private val era = StoreEra(SILENT_LOG)
        private val configuration = NameList()
        val policy = WatchPolicy(membership.tree, clock, APPLY_MILLIS)
        val rank: Int get() = membership.tree.rank
        val names: Set<String> get() = configuration.names
        var isRunning = true
            private set
        private val context = WatchContext(
            store = memory.client(era),
            policy = policy,
            runtime = ControlRuntime(
                loops,
                ControlTicks(clock, offsetMillis = random.nextLong(100)) { 100 },
                SILENT_LOG,
                clock,
            ),
            stableMillis = STABLE_MILLIS,
            random = random,
        )
        private val watches = KINDS.associateWith { kind ->
            ObjectWatch(kind, context, if (kind == ObjectKind.CONFIGURATION) configuration else NameList())
        }
        private val copies = PeerCopies(watches.mapKeys { it.key.name }, era, clock)

        init {
            watches.values.forEach { loops.launch { it.run() } }
        }

        fun stop() {
            isRunning = false
            loops.cancel()
        }

        fun neighbours(connected: Set<InstanceId>): List<InstanceId> =
            membership.tree.neighbours(connected, clock.nowMillis()).map { it.id }

        fun sendTo(other: Instance) {
            val status = copies.addStatus(PeerMessage.InstanceNews("NOBODY"))
            other.copies.receiveStatus(status, member.id.value).forEach { wanted ->
                copies.offer(wanted)?.let { other.copies.accept(it, member.id.value) }
            }
        }
    }

    private class NameList : ObjectListener {
        val names = LinkedHashSet<String>()

        override fun onList(objects: List<StoredObject>) {
            names.clear()
            names += objects.map { it.name }
        }

        override fun onChange(change: ObjectChange) {
            if (change.removed) names -= change.value.name else names += change.value.name
        }
    }

    private companion object {
        val KINDS =
            listOf(ObjectKind.CONFIGURATION, ObjectKind.ENDPOINTS, ObjectKind.WEIGHTS, ObjectKind.EVACUATIONS)
        const val INSTANCES = 4
        const val RUNS = 50
        const val APPLY_MILLIS = 2_500L
        const val STABLE_MILLIS = 4_000L
        const val SETTLE_MILLIS = 5_000L
        const val OUTAGE_MILLIS = 8_000L
        const val LAST_MILLIS = 4_000L
        const val STEP_MILLIS = 100L
        const val FOLLOWER_CALLS = 60
        const val OTHER_CALLS = 9
    }
}
