package org.parsleymoor.entry

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.parsleymoor.core.Clock
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.Incarnation
import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.PauseDetector
import org.parsleymoor.core.ZoneId
import org.parsleymoor.entry.control.ControlRuntime
import org.parsleymoor.entry.control.ControlTicks
import org.parsleymoor.entry.control.Membership
import org.parsleymoor.entry.control.ObjectWatch
import org.parsleymoor.entry.control.OrderLease
import org.parsleymoor.entry.control.ReleaseListener
import org.parsleymoor.entry.control.ReleaseLog
import org.parsleymoor.entry.control.ReleaseLoop
import org.parsleymoor.entry.control.ReleaseStore
import org.parsleymoor.entry.control.WatchContext
import org.parsleymoor.entry.control.WatchPolicy
import org.parsleymoor.entry.control.applyPeerUpdate
import org.parsleymoor.entry.control.toMessage
import org.parsleymoor.entry.control.toUpdates
import org.parsleymoor.entry.protocol.ObjectKind
import org.parsleymoor.entry.serving.DeploymentView
import org.parsleymoor.relay.exchange.ForwardScope
import org.parsleymoor.relay.exchange.Member
import org.parsleymoor.relay.fleet.EndpointState
import org.parsleymoor.relay.release.ExposureLimit
import org.parsleymoor.relay.release.ObservedRequest
import org.parsleymoor.relay.release.ObservedResult
import org.parsleymoor.relay.release.choices
import org.parsleymoor.relay.release.observe
import org.parsleymoor.relay.release.takesTarget
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan

/** Two instances that read orders from an object store, tell each other what they see, and write the status. */
@OptIn(ExperimentalCoroutinesApi::class)
class ReleaseLoopTest {
    private val memory = MemoryStore()
    private val instances = ArrayList<Instance>()
    private val status get() = memory.status(ObjectKind.RELEASES, "s")

    /** Whether the new release fails. */
    private var fails = false

    @Test
    fun `an order is accepted, and its good release completed`() = play {
        expectThat(status).isEqualTo("ACTIVE:v2")
        advanceTimeBy(20_000)
        expectThat(status).isEqualTo("COMPLETED:v2")
    }

    // The verdict would be lost with its instance, and the release go on to fail.
    @Test
    fun `a holder that dies before it has written that a release is bad is replaced by one that writes it`() = play {
        memory.unavailable = true
        fails = true
        advanceTimeBy(9_000)
        val exposed = instances.sumOf { it.sentToTarget }
        expectThat(exposed).isGreaterThan(0)
        instances.single { it.lease.held() != null || it.wasHolder }.job.cancel()
        memory.unavailable = false
        advanceTimeBy(8_000)
        expectThat(status).isEqualTo("ROLLED_BACK:v2")
        expectThat(instances.sumOf { it.sentToTarget }).isEqualTo(exposed)
    }

    // Its write has taken effect, and is not repeated with another state.
    @Test
    fun `a status whose response is lost is read back`() = play {
        fails = true
        memory.losesResponses = true
        advanceTimeBy(1_000)
        memory.losesResponses = false
        advanceTimeBy(9_000)
        expectThat(status).isEqualTo("ROLLED_BACK:v2")
    }

    // Two holders may write at once; the second has to see what the first wrote.
    @Test
    fun `a write on condition of an older revision changes nothing`() = play {
        val stale = memory.put(ObjectKind.RELEASES, "s", ORDER).revision
        memory.put(ObjectKind.RELEASES, "s", ORDER, status = "COMPLETED:v2")
        advanceTimeBy(5_000)
        expectThat(status).isEqualTo("COMPLETED:v2")
        expectThat(stale).isGreaterThan(0)
    }

    private fun play(body: suspend TestScope.() -> Unit) = runTest {
        repeat(2) { number -> instances += Instance("i$number", this) }
        advanceTimeBy(3_000)
        memory.put(ObjectKind.RELEASES, "s", ORDER)
        advanceTimeBy(1_000)
        instances.forEach { it.list("v2") }
        advanceTimeBy(3_500)
        body()
        instances.forEach { it.job.cancel() }
    }

    private inner class Instance(name: String, private val scope: TestScope) {
        private val clock = Clock { scope.currentTime + START_MILLIS }
        private val deployment = DeploymentView(InstanceId(name), ExposureLimit(0.1, extra = 50.0, 5_000))
        private val runtime = ControlRuntime(scope.backgroundScope, ControlTicks(clock, 0) { 60 }, SILENT_LOG, clock)
        val lease = OrderLease(
            Incarnation(InstanceId(name), 1),
            memory.store,
            scope.backgroundScope,
            SILENT_LOG,
            PauseDetector(clock) { scope.currentTime },
            leaseMillis = 3_000,
        )
        var sentToTarget = 0
            private set
        var wasHolder = false
            private set
        val job: Job

        init {
            deployment.listMembers(setOf(InstanceId("i0"), InstanceId("i1")), nowMillis = 0)
            deployment.announce = { update ->
                val message = listOf(update).toMessage(ForwardScope.NOBODY, clock.nowMillis())
                instances.filter { it !== this && it.job.isActive }.forEach { other ->
                    message.toUpdates(clock.nowMillis())
                        .forEach { other.deployment.applyPeerUpdate(it, clock.nowMillis()) }
                }
            }
            list("v1")
            val listener = ReleaseListener(deployment, MemoryReleases, SILENT_LOG, clock)
            val tree = Membership(Member(InstanceId(name), "h:1", ZoneId("a"))).tree
            val context = WatchContext(memory.store, WatchPolicy(tree, clock, applyMillis = 4_000), runtime)
            val log = ReleaseLog(SILENT_LOG, EntryMetrics())
            val loop = ReleaseLoop(deployment, runtime, ReleaseStore(memory.store, MemoryReleases), lease, log)
            job = scope.backgroundScope.launch {
                launch { ObjectWatch(ObjectKind.RELEASES, context, listener).run() }
                launch { loop.run() }
                launch { serve() }
                while (true) {
                    lease.tick(wanted = deployment.releases.hasOpenOrders)
                    wasHolder = lease.held() != null || wasHolder
                    delay(60)
                }
            }
        }

        fun list(release: String) = repeat(REPLICAS) { number ->
            val entry = listedEndpoint(80 + number).copy(id = EndpointId("$release-$number"))
            deployment.endpoints.put(entry.copy(release = release), clock.nowMillis())
        }

        /** Sends a hundred requests a second. */
        private suspend fun serve() {
            var number = 0
            while (true) {
                delay(10)
                val toTarget = deployment.releases.takesTarget("s", clock.nowMillis())
                val endpoint = deployment.releases.choices("s", toTarget, clock.nowMillis())
                    .firstNotNullOfOrNull { accepts -> deployment.endpoints.all.filter(accepts).ifEmpty { null } }
                    ?.let { it[number++ % it.size] }
                endpoint?.let { scope.backgroundScope.launch { send(it) } }
            }
        }

        private suspend fun send(endpoint: EndpointState) {
            val ofTarget = endpoint.entry.release == "v2"
            if (ofTarget) sentToTarget++
            val request = ObservedRequest("r", repeatable = false, expectedMillis = 45.0)
            val observation = deployment.releases.observe(endpoint, request, clock.nowMillis())
            delay(45)
            val result = if (ofTarget && fails) ObservedResult.FAILED else ObservedResult.ANSWERED
            observation?.recordResult(result, extraMillis = 0.0, clock.nowMillis())
            observation?.ended()
        }
    }

    private companion object {
        const val ORDER = "v2 20000"
        const val START_MILLIS = 1_000_000L
        const val REPLICAS = 6
    }
}
