package org.parsleymoor.entry

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import org.parsleymoor.core.Clock
import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.ZoneId
import org.parsleymoor.entry.control.ControlRuntime
import org.parsleymoor.entry.control.ControlTicks
import org.parsleymoor.entry.control.EndpointListener
import org.parsleymoor.entry.control.Membership
import org.parsleymoor.entry.control.ObjectOffer
import org.parsleymoor.entry.control.ObjectWatch
import org.parsleymoor.entry.control.WatchContext
import org.parsleymoor.entry.control.WatchPolicy
import org.parsleymoor.entry.protocol.ObjectKind
import org.parsleymoor.entry.protocol.StorePosition
import org.parsleymoor.entry.serving.DeploymentView
import org.parsleymoor.relay.exchange.Member
import strikt.api.expectThat
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEqualTo

/** Removed endpoints while calls to the object store fail: in an outage the entry may only have expired. */
@OptIn(ExperimentalCoroutinesApi::class)
class EndpointListOutageTest {
    private val memory = MemoryStore()
    private val members = (1..30).map { Member(InstanceId("i$it"), "i$it:1", ZoneId("z${it % 6}")) }

    // Each watch that was cut off counted as an outage, after which removed endpoints were kept for two more seconds.
    @ParameterizedTest
    @ValueSource(ints = [1, 4, 60])
    fun `an endpoint that is removed while watches are cut off gets no more requests`(cuts: Int) = simulate("a", "b") {
        memory.remove(ObjectKind.ENDPOINTS, "b")
        repeat(cuts) {
            memory.cutWatches()
            scope.advanceTimeBy(CUT_INTERVAL_MILLIS)
            expectThat(serving()).containsExactlyInAnyOrder("a")
        }
    }

    // The two seconds in which missing endpoints are kept began again with each call that failed.
    @Test
    fun `watches that are cut off after an outage do not keep missing endpoints longer`() = simulate("a", "b") {
        loseStore(OUTAGE_MILLIS) { memory.remove(ObjectKind.ENDPOINTS, "b") }
        repeat(3) {
            memory.cutWatches()
            scope.advanceTimeBy(CUT_INTERVAL_MILLIS)
        }
        expectThat(serving()).containsExactlyInAnyOrder("a")
    }

    // Otherwise nothing can be served after an outage in which all entries expired.
    @Test
    fun `endpoints whose entries expired in an outage are used until they register again`() = simulate("a", "b") {
        loseStore(OUTAGE_MILLIS) { listOf("a", "b").forEach { memory.remove(ObjectKind.ENDPOINTS, it) } }
        expectThat(serving()).containsExactlyInAnyOrder("a", "b")
        scope.advanceTimeBy(1_000)
        expectThat(serving()).containsExactlyInAnyOrder("a", "b")
        memory.put(ObjectKind.ENDPOINTS, "a", "ready 1")
        scope.advanceTimeBy(GRACE_MILLIS)
        expectThat(serving()).containsExactlyInAnyOrder("a")
    }

    // An entry that is removed at the end of an outage cannot be told from one that expired, but is not kept for long.
    @Test
    fun `half of a service that is removed just before an outage ends gets no requests after the drain time`() =
        simulate("a", "b", "c", "d") {
            loseStore(OUTAGE_MILLIS) {
                listOf("a", "b").forEach { memory.remove(ObjectKind.ENDPOINTS, it) }
                scope.advanceTimeBy(100)
            }
            scope.advanceTimeBy(GRACE_MILLIS)
            expectThat(serving()).containsExactlyInAnyOrder("c", "d")
        }

    // A peer whose own call failed made the others keep what the store had removed.
    @Test
    fun `a failed call that a peer reports does not keep a removed endpoint`() = simulate("a", "b", follower = false) {
        reportFromPeer(lost = true)
        removeFromPeer("b")
        expectThat(serving()).containsExactlyInAnyOrder("a")
    }

    // The other direction: the peer has been without the store for long enough for the entry to expire.
    @Test
    fun `an endpoint that a peer no longer lists after an outage is used until it can register again`() =
        simulate("a", "b", follower = false) {
            memory.unavailable = true
            repeat((OUTAGE_MILLIS / REPORT_INTERVAL_MILLIS).toInt()) {
                scope.advanceTimeBy(REPORT_INTERVAL_MILLIS)
                reportFromPeer(lost = true)
            }
            removeFromPeer("b")
            expectThat(serving()).containsExactlyInAnyOrder("a", "b")
            reportFromPeer(lost = false)
            scope.advanceTimeBy(GRACE_MILLIS)
            expectThat(serving()).containsExactlyInAnyOrder("a")
        }

    // The metrics have to tell a call that failed from an outage.
    @Test
    fun `failed calls, outages and kept endpoints are counted apart`() = simulate("a", "b") {
        memory.cutWatches()
        scope.advanceTimeBy(CUT_INTERVAL_MILLIS)
        expectThat(failedCalls.count).isEqualTo(1)
        expectThat(metrics.outages.count).isEqualTo(0)
        loseStore(OUTAGE_MILLIS) { memory.remove(ObjectKind.ENDPOINTS, "b") }
        expectThat(metrics.outages.count).isEqualTo(1)
        expectThat(metrics.kept.count).isEqualTo(1)
    }

    private fun simulate(vararg endpoints: String, follower: Boolean = true, body: suspend Instance.() -> Unit) =
        runTest {
            endpoints.forEach { memory.put(ObjectKind.ENDPOINTS, it, "ready 1") }
            val instance = Instance(this, follower)
            advanceTimeBy(CUT_INTERVAL_MILLIS)
            instance.body()
        }

    private inner class Instance(val scope: TestScope, follower: Boolean) {
        private val clock = Clock { scope.currentTime }
        private val deployment = DeploymentView(InstanceId("self"))
        private val membership = members.map { member -> Membership(member).also { it.update(members) } }
            .first { it.tree.watchesObjectStore == follower }
        val metrics = EndpointListMetrics()
        val failedCalls = Counter()
        private val watch: ObjectWatch

        init {
            val runtime = ControlRuntime(
                scope.backgroundScope,
                ControlTicks(clock, offsetMillis = 0) { 100 },
                SILENT_LOG,
                clock,
            )
            val policy = WatchPolicy(membership.tree, clock, APPLY_MILLIS)
            val context = WatchContext(memory.store, policy, runtime, failedCalls)
            val listener = EndpointListener(
                deployment,
                EndpointContentDecoder,
                SILENT_LOG,
                clock,
                HEARTBEAT_MILLIS,
                metrics,
            )
            watch = ObjectWatch(ObjectKind.ENDPOINTS, context, listener)
            scope.backgroundScope.launch { watch.run() }
            scope.backgroundScope.launch {
                while (true) {
                    delay(HOUSEKEEPING_MILLIS)
                    deployment.endpoints.expire(scope.currentTime)
                }
            }
        }

        fun serving() = deployment.endpoints.serving("s").map { it.entry.id.value }

        /** Rejects all calls for [millis], makes [changes] at the end of that time, and waits until they are read. */
        fun loseStore(millis: Long, changes: () -> Unit) {
            memory.unavailable = true
            scope.advanceTimeBy(millis)
            changes()
            memory.unavailable = false
            scope.advanceTimeBy(RETURN_MILLIS)
        }

        fun reportFromPeer(lost: Boolean) {
            val confirmedMillis = if (lost) watch.currentMillis else scope.currentTime
            watch.onPeerStatus(watch.changedPosition, confirmedMillis, lost)
        }

        fun removeFromPeer(name: String) {
            val known = watch.knownPosition
            val position = StorePosition(known.era, known.revision + 1)
            watch.accept(ObjectOffer(position, emptyList(), since = known.revision, removed = listOf(name)))
        }
    }

    private companion object {
        const val APPLY_MILLIS = 2_500L
        const val HEARTBEAT_MILLIS = 1_200L
        const val CUT_INTERVAL_MILLIS = 1_000L
        const val OUTAGE_MILLIS = 8_000L
        const val REPORT_INTERVAL_MILLIS = 100L
        const val HOUSEKEEPING_MILLIS = 100L

        // Time in which an instance that follows the store calls it again.
        const val RETURN_MILLIS = 500L

        // Longer than endpoints need to register again, shorter than the drain time of 2,500 ms.
        const val GRACE_MILLIS = 2_200L
    }
}
