package org.parsleymoor.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getError
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
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
import org.parsleymoor.entry.control.ObjectStore
import org.parsleymoor.entry.control.ObjectWatch
import org.parsleymoor.entry.control.StoreEra
import org.parsleymoor.entry.control.StoreFailure
import org.parsleymoor.entry.control.UnreadableObjectLog
import org.parsleymoor.entry.control.WatchContext
import org.parsleymoor.entry.control.WatchPolicy
import org.parsleymoor.entry.log.StructuredLog
import org.parsleymoor.entry.net.ControlResponse
import org.parsleymoor.entry.protocol.ControlRequest
import org.parsleymoor.entry.protocol.DecodeFailure
import org.parsleymoor.entry.protocol.ObjectChange
import org.parsleymoor.entry.protocol.ObjectChanges
import org.parsleymoor.entry.protocol.ObjectKind
import org.parsleymoor.entry.protocol.ObjectPage
import org.parsleymoor.entry.protocol.ObjectProtocol
import org.parsleymoor.entry.protocol.StoredObject
import org.parsleymoor.entry.protocol.UnreadableObject
import org.parsleymoor.relay.exchange.Member
import org.parsleymoor.relay.http.HeaderFields
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import java.io.ByteArrayOutputStream
import java.io.PrintStream

/** Responses of the object store of which a part, or the whole, cannot be decoded. */
@OptIn(ExperimentalCoroutinesApi::class)
class UnreadableResponsesTest {
    private val protocol = ScriptedProtocol()
    private val output = ByteArrayOutputStream()
    private var calls = 0

    // Otherwise an instance reads the list again and again, without a pause, while changes cannot be decoded.
    @Test
    fun `changes that stay unreadable lead to few calls`() = runTest {
        protocol.changes = Err(DecodeFailure("changes", "?"))
        backgroundScope.launch { watch(store()).run() }
        advanceTimeBy(10_000)
        expectThat(calls).isLessThan(30)
    }

    @Test
    fun `a list that stays unreadable leads to few calls`() = runTest {
        protocol.page = { Err(DecodeFailure("a list", "?")) }
        backgroundScope.launch { watch(store()).run() }
        advanceTimeBy(10_000)
        expectThat(calls).isLessThan(90)
    }

    // Otherwise the list never ends, and memory runs out.
    @Test
    fun `a page that ends where an earlier one did is a typed failure`() = runTest {
        protocol.page = { Ok(ObjectPage(listOf(StoredObject("a", 1, "1")), after = "a", revision = 2)) }
        val failure = store().list(ObjectKind.ENDPOINTS).getError()
        expectThat(failure).isNotNull().isA<StoreFailure.Unreadable>()
        expectThat(calls).isLessThan(4)
    }

    // Otherwise one entry of another writer fills the log.
    @Test
    fun `an object that cannot be decoded is logged once`() = runTest {
        val odd = UnreadableObject("odd", DecodeFailure("a whole number", "1e400"))
        protocol.page = { Ok(ObjectPage(emptyList(), after = null, revision = 2, unreadable = listOf(odd))) }
        val log = log()
        val store = store(log)
        repeat(5) { store.list(ObjectKind.ENDPOINTS) }
        log.flush(1_000)
        Thread.sleep(20)
        expectThat(output.toString().lines().filter { "object.unreadable" in it }).hasSize(1)
    }

    private fun TestScope.store(log: StructuredLog = log()) = ObjectStore(
        protocol = protocol,
        era = StoreEra(log),
        send = { _, _ ->
            calls++
            delay(4)
            Ok(ControlResponse(200, ""))
        },
        onUnreadable = UnreadableObjectLog(log)::record,
    )

    private fun TestScope.log() = StructuredLog(Clock { currentTime }, "test", PrintStream(output, true))

    private fun TestScope.watch(store: ObjectStore): ObjectWatch {
        val clock = Clock { currentTime }
        val membership = Membership(Member(InstanceId("self"), "h:2", ZoneId("a")))
        val policy = WatchPolicy(membership.tree, clock, applyMillis = 5_000)
        val ticks = ControlTicks(clock, offsetMillis = 0) { 100 }
        val runtime = ControlRuntime(backgroundScope, ticks, log(), clock)
        return ObjectWatch(ObjectKind.ENDPOINTS, WatchContext(store, policy, runtime), IgnoringListener)
    }

    private object IgnoringListener : ObjectListener {
        override fun onList(objects: List<StoredObject>) = Unit

        override fun onChange(change: ObjectChange) = Unit
    }

    private class ScriptedProtocol : ObjectProtocol {
        var page: () -> Result<ObjectPage, DecodeFailure> = { Ok(ObjectPage(emptyList(), null, 2)) }
        var changes: Result<ObjectChanges, DecodeFailure> = Ok(ObjectChanges(emptyList(), 2))

        override fun list(kind: ObjectKind, after: String?, allowStale: Boolean) = ControlRequest("LIST", "")

        override fun watch(kind: ObjectKind, revision: Long, waitMillis: Long) = ControlRequest("WATCH", "")

        override fun read(kind: ObjectKind, name: String) = ControlRequest("READ", "")

        override fun create(kind: ObjectKind, name: String, content: String) = ControlRequest("WRITE", "")

        override fun replace(kind: ObjectKind, name: String, content: String, revision: Long?) =
            ControlRequest("WRITE", "")

        override fun remove(kind: ObjectKind, name: String) = ControlRequest("REMOVE", "")

        override fun era(headers: HeaderFields): Result<Long, DecodeFailure> = Ok(0)

        override fun page(body: String) = page()

        override fun changes(body: String) = changes

        override fun stored(body: String): Result<StoredObject, DecodeFailure> = Err(DecodeFailure("an object", body))
    }
}
