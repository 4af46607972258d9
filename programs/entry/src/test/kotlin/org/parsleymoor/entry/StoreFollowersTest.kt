package org.parsleymoor.entry

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.parsleymoor.core.Clock
import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.ZoneId
import org.parsleymoor.entry.control.ControlRuntime
import org.parsleymoor.entry.control.ControlTicks
import org.parsleymoor.entry.control.Membership
import org.parsleymoor.entry.control.ObjectListener
import org.parsleymoor.entry.control.ObjectWatch
import org.parsleymoor.entry.control.WatchContext
import org.parsleymoor.entry.control.WatchPolicy
import org.parsleymoor.entry.log.StructuredLog
import org.parsleymoor.entry.protocol.ObjectChange
import org.parsleymoor.entry.protocol.ObjectKind
import org.parsleymoor.entry.protocol.StoredObject
import org.parsleymoor.relay.exchange.Member
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue
import java.io.OutputStream
import java.io.PrintStream

/** Followers, which watch the object store for the other instances, and how the others take over when they fail. */
@OptIn(ExperimentalCoroutinesApi::class)
class StoreFollowersTest {
    private val memory = MemoryStore()
    private val members = (1..30).map { Member(InstanceId("i$it"), "i$it:1", ZoneId("z${it % 6}")) }

    // Otherwise every instance makes billed calls of its own: 4.6 a second with 95 instances.
    @Test
    fun `at most three instances follow the store and the others make no calls while they get updates`() = simulate {
        memory.put(ObjectKind.WEIGHTS, "a", "1")
        val all = members.map { start(it) }
        expectThat(all.count { it.policy.follows }).isLessThanOrEqualTo(3)
        advanceTimeBy(1_000)
        val calls = memory.calls
        memory.put(ObjectKind.WEIGHTS, "b", "1")
        repeat(200) { sendStatusToAll(all) }
        expectThat(memory.calls - calls).isLessThanOrEqualTo((all.size * MAX_CALLS_PER_SECOND * 20).toInt())
        all.forEach { expectThat(it.names).containsExactly("a", "b") }
    }

    // Otherwise a change that only a killed follower has read never takes effect.
    @Test
    fun `an instance without updates reads the store in time for a change to take effect`() = simulate {
        memory.put(ObjectKind.WEIGHTS, "a", "1")
        val other = start(members.first { !Membership(it).also { own -> own.update(members) }.tree.watchesObjectStore })
        advanceTimeBy(100)
        memory.put(ObjectKind.WEIGHTS, "b", "1")
        advanceTimeBy(APPLY_MILLIS - 500)
        expectThat(other.names).contains("b")
    }

    // Calls are billed: 95 instances that retry four kinds five times a second cost more in an outage than in a day.
    @Test
    fun `an instance that is not a follower calls an unavailable store less than twice a second`() = simulate {
        val other = start(members.first { !Membership(it).also { own -> own.update(members) }.tree.watchesObjectStore })
        advanceTimeBy(100)
        memory.unavailable = true
        advanceTimeBy(4_000)
        val calls = memory.calls
        advanceTimeBy(10_000)
        expectThat(memory.calls - calls).isLessThan(20)
        expectThat(other.watch.isStoreUnreachable).isTrue()
        memory.unavailable = false
        advanceTimeBy(8_500)
        expectThat(other.watch.isStoreUnreachable).isFalse()
    }

    // Otherwise entries that expired during an outage are dropped before their endpoints can register again.
    @Test
    fun `an instance that relies on peers notices when the store becomes unreachable and recovers`() = simulate {
        val other = start(members.first { !Membership(it).also { own -> own.update(members) }.tree.watchesObjectStore })
        advanceTimeBy(100)
        val changed = other.watch.changedPosition
        other.watch.onPeerStatus(changed, currentTime, storeUnreachable = false)
        other.watch.onPeerStatus(changed, currentTime - 10, storeUnreachable = true)
        expectThat(other.failures).isGreaterThan(0)
        advanceTimeBy(500)
        other.watch.onPeerStatus(changed, currentTime, storeUnreachable = false)
        expectThat(other.watch.isStoreUnreachable).isFalse()
    }

    private fun TestScope.sendStatusToAll(all: List<Instance>) {
        advanceTimeBy(STATUS_PERIOD_MILLIS)
        val newest = all.maxBy { it.watch.currentMillis }.watch
        all.forEach { peer ->
            if (peer.watch.onPeerStatus(newest.changedPosition, newest.currentMillis, newest.isStoreUnreachable)) {
                newest.offer(peer.watch.knownPosition)?.let { peer.watch.accept(it) }
            }
        }
    }

    private fun simulate(body: suspend TestScope.() -> Unit) = runTest { body() }

    private fun TestScope.start(member: Member): Instance {
        val clock = Clock { currentTime }
        val membership = Membership(member).also { it.update(members) }
        val log = StructuredLog(clock, "test", PrintStream(OutputStream.nullOutputStream()))
        val policy = WatchPolicy(membership.tree, clock, APPLY_MILLIS)
        val ticks = ControlTicks(clock, offsetMillis = 0) { 100 }
        val runtime = ControlRuntime(backgroundScope, ticks, log, clock)
        return Instance(policy, WatchContext(memory.store, policy, runtime))
            .also { backgroundScope.launch { it.watch.run() } }
    }

    private class Instance(val policy: WatchPolicy, context: WatchContext) : ObjectListener {
        val names = LinkedHashSet<String>()
        var failures = 0
        val watch = ObjectWatch(ObjectKind.WEIGHTS, context, this)

        override fun onCallFailed() {
            failures++
        }

        override fun onList(objects: List<StoredObject>) {
            names.clear()
            names += objects.map { it.name }
        }

        override fun onChange(change: ObjectChange) {
            if (change.removed) names -= change.value.name else names += change.value.name
        }
    }

    private companion object {
        const val APPLY_MILLIS = 5_000L
        const val STATUS_PERIOD_MILLIS = 100L

        // An idle instance makes at most one call a second for its four kinds of objects.
        const val MAX_CALLS_PER_SECOND = 0.25
    }
}
