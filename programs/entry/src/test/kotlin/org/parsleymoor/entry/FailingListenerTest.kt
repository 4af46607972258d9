package org.parsleymoor.entry

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.parsleymoor.core.Clock
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.ModelId
import org.parsleymoor.core.ZoneId
import org.parsleymoor.entry.control.ControlRuntime
import org.parsleymoor.entry.control.ControlTicks
import org.parsleymoor.entry.control.EndpointListener
import org.parsleymoor.entry.control.IsolatedListener
import org.parsleymoor.entry.control.Membership
import org.parsleymoor.entry.control.ObjectWatch
import org.parsleymoor.entry.control.WatchContext
import org.parsleymoor.entry.control.WatchPolicy
import org.parsleymoor.entry.log.StructuredLog
import org.parsleymoor.entry.protocol.ContentDecoder
import org.parsleymoor.entry.protocol.DecodeFailure
import org.parsleymoor.entry.protocol.ObjectKind
import org.parsleymoor.entry.serving.DeploymentView
import org.parsleymoor.relay.exchange.Member
import org.parsleymoor.relay.fleet.EndpointEntry
import org.parsleymoor.relay.fleet.SocketAddress
import org.parsleymoor.relay.routing.ServingConfiguration
import strikt.api.expectThat
import strikt.assertions.containsExactlyInAnyOrder
import java.io.OutputStream
import java.io.PrintStream

/** Guards against one object at which a listener throws, after which the other objects are never applied. */
@OptIn(ExperimentalCoroutinesApi::class)
class FailingListenerTest {
    private val memory = MemoryStore()
    private val deployment = DeploymentView(InstanceId("self"))

    @Test
    fun `an object at which a listener throws does not stop the others of a list or later changes`() = runTest {
        listOf("a", "throws", "overflows", "b").forEach { memory.put(ObjectKind.ENDPOINTS, it, "1") }
        val clock = Clock { currentTime }
        val log = StructuredLog(clock, "test", PrintStream(OutputStream.nullOutputStream()))
        val membership = Membership(Member(InstanceId("self"), "h:2", ZoneId("a")))
        val policy = WatchPolicy(membership.tree, clock, applyMillis = 5_000)
        val runtime = ControlRuntime(backgroundScope, ControlTicks(clock, offsetMillis = 0) { 100 }, log, clock)
        val listener = EndpointListener(deployment, ThrowingDecoder, log, clock, heartbeatMillis = 1_000)
        val isolated = IsolatedListener(ObjectKind.ENDPOINTS, listener, log)
        val watch = ObjectWatch(ObjectKind.ENDPOINTS, WatchContext(memory.store, policy, runtime), isolated)
        backgroundScope.launch { watch.run() }
        advanceTimeBy(100)
        expectThat(endpoints()).containsExactlyInAnyOrder("a", "b")
        memory.put(ObjectKind.ENDPOINTS, "throws-again", "1")
        memory.put(ObjectKind.ENDPOINTS, "c", "1")
        advanceTimeBy(5_000)
        memory.put(ObjectKind.ENDPOINTS, "d", "1")
        advanceTimeBy(5_000)
        expectThat(endpoints()).containsExactlyInAnyOrder("a", "b", "c", "d")
    }

    private fun endpoints() = deployment.endpoints.all.map { it.entry.id.value }

    private object ThrowingDecoder : ContentDecoder {
        override fun endpoint(name: String, content: String): Result<EndpointEntry, DecodeFailure> {
            if (name.startsWith("throws")) error("a fault of the decoder")
            if (name == "overflows") throw StackOverflowError()
            val address = SocketAddress("10.0.0.1", 80)
            return Ok(EndpointEntry(EndpointId(name), "s", address, ZoneId("a"), draining = false, slots = 1))
        }

        override fun configuration(content: String): Result<ServingConfiguration, DecodeFailure> = error("unused")

        override fun weights(content: String): Result<Pair<ModelId, Long>, DecodeFailure> = error("unused")

        override fun evacuatedZone(name: String): ZoneId = ZoneId(name)
    }
}
