package org.parsleymoor.entry

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import org.parsleymoor.core.Clock
import org.parsleymoor.core.Incarnation
import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.PauseDetector
import org.parsleymoor.core.ZoneId
import org.parsleymoor.entry.control.Membership
import org.parsleymoor.entry.control.MembershipLoop
import org.parsleymoor.entry.control.OrderLease
import org.parsleymoor.entry.log.StructuredLog
import org.parsleymoor.entry.protocol.ObjectKind
import org.parsleymoor.entry.serving.DeploymentView
import org.parsleymoor.relay.exchange.Member
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isNotNull
import java.io.OutputStream
import java.io.PrintStream
import java.util.concurrent.atomic.AtomicReference

/** Records of the system's own kinds that another writer has nested deeply, read on a thread with 256 KB of stack. */
@OptIn(ExperimentalCoroutinesApi::class)
class DeepRecordTest {
    private val memory = MemoryStore()

    // Otherwise the loop ends, and with it the heartbeats of the instance and its view of the others.
    @ParameterizedTest
    @ValueSource(ints = [10, 1_000, 100_000])
    fun `a deeply nested member record does not hide the other members`(depth: Int) = onSmallStack {
        val deep = "[".repeat(depth) + "]".repeat(depth)
        memory.put(ObjectKind.MEMBERS, "deep", """{"address":"h:1","beats":1,"more":$deep}""")
        memory.put(ObjectKind.MEMBERS, "deeper", """{"address":$deep}""")
        memory.put(ObjectKind.MEMBERS, "good", """{"address":"h:2","beats":1}""")
        val deployment = DeploymentView(InstanceId("self"))
        val membership = Membership(Member(InstanceId("self"), "h:3", ZoneId("a")))
        val loop = MembershipLoop(memory.store, deployment, membership, log(), Clock { currentTime }, retryShare())
        backgroundScope.launch { loop.run() }
        advanceTimeBy(1_000)
        expectThat(deployment.members).isNotNull().contains(InstanceId("good"))
    }

    // Otherwise no instance ever holds the lease again, and no engine loads new weights.
    @ParameterizedTest
    @ValueSource(ints = [10, 1_000, 100_000])
    fun `a deeply nested lease record is replaced`(depth: Int) = onSmallStack {
        memory.put(ObjectKind.LEASES, "orders", "[".repeat(depth) + "]".repeat(depth))
        val clock = PauseDetector(Clock { currentTime }) { currentTime }
        val lease =
            OrderLease(Incarnation(InstanceId("one"), 1), memory.store, backgroundScope, log(), clock, 3_000)
        repeat(100) {
            lease.tick(wanted = true)
            advanceTimeBy(100)
        }
        expectThat(lease.held()).isNotNull()
    }

    private fun TestScope.log() =
        StructuredLog(Clock { currentTime }, "test", PrintStream(OutputStream.nullOutputStream()))

    private fun onSmallStack(body: TestScope.() -> Unit) {
        val failure = AtomicReference<Throwable>()
        val thread = Thread(null, { runTest { body() } }, "small stack", SMALL_STACK_BYTES)
        thread.setUncaughtExceptionHandler { _, cause -> failure.set(cause) }
        thread.start()
        thread.join()
        failure.get()?.let { throw it }
    }

    private companion object {
        const val SMALL_STACK_BYTES = 256L * 1_024
    }
}
