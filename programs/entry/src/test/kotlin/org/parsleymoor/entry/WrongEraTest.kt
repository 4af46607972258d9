package org.parsleymoor.entry

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.getError
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.parsleymoor.core.Clock
import org.parsleymoor.core.Incarnation
import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.PauseDetector
import org.parsleymoor.core.ZoneId
import org.parsleymoor.entry.control.ControlRuntime
import org.parsleymoor.entry.control.ControlTicks
import org.parsleymoor.entry.control.Membership
import org.parsleymoor.entry.control.ObjectListener
import org.parsleymoor.entry.control.ObjectStore
import org.parsleymoor.entry.control.ObjectWatch
import org.parsleymoor.entry.control.OrderLease
import org.parsleymoor.entry.control.PeerCopies
import org.parsleymoor.entry.control.StoreEra
import org.parsleymoor.entry.control.WatchContext
import org.parsleymoor.entry.control.WatchPolicy
import org.parsleymoor.entry.net.ControlResponse
import org.parsleymoor.entry.protocol.ObjectChange
import org.parsleymoor.entry.protocol.ObjectKind
import org.parsleymoor.entry.protocol.StorePosition
import org.parsleymoor.entry.protocol.StoredObject
import org.parsleymoor.peering.PeerMessage
import org.parsleymoor.relay.exchange.Member
import org.parsleymoor.relay.http.HeaderField
import org.parsleymoor.relay.http.HeaderFields
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue

/** The store states an era, in one response, that it does not have. */
@OptIn(ExperimentalCoroutinesApi::class)
class WrongEraTest {
    private val memory = MemoryStore()
    private val era = StoreEra(SILENT_LOG)
    private val store = memory.client(era)

    // One response with a wrong era would make the instance, and peers that it tells, ignore the store for good.
    @Test
    fun `one response with a wrong era does not end the use of the store`() = runTest {
        var stated = 1L
        val store = ObjectStore(MemoryProtocol, StoreEra(SILENT_LOG)) { _, _ ->
            Ok(ControlResponse(200, "4\na 4 false 1", HeaderFields(listOf(HeaderField(ERA_HEADER, "$stated")))))
        }
        store.list(ObjectKind.WEIGHTS)
        stated = 5_000
        store.list(ObjectKind.WEIGHTS)
        stated = 1
        val failures = List(1_000) { store.list(ObjectKind.WEIGHTS).getError() }
        expectThat(failures.last()).isNull()
    }

    // An instance that starts has no era to keep to, so that its copies may be of the wrong one.
    @Test
    fun `a wrong era in the first response is left again, and with it the copies`() = runTest {
        memory.restore(times = 1)
        memory.put(ObjectKind.WEIGHTS, "a", "1")
        memory.nextEra = WRONG_ERA
        val watch = watch()
        advanceTimeBy(1)
        backgroundScope.launch { watch.run() }
        advanceTimeBy(5_000)
        expectThat(era.newest).isEqualTo(1L)
        expectThat(era.isConfirmed).isTrue()
        expectThat(watch.knownPosition.era).isEqualTo(1L)
    }

    // Peers would take the wrong era for confirmed, and ignore the store.
    @Test
    fun `peers are told neither a wrong era nor objects of it`() = runTest {
        memory.restore(times = 1)
        memory.put(ObjectKind.WEIGHTS, "a", "1")
        memory.nextEra = WRONG_ERA
        val watch = watch()
        val copies = PeerCopies(mapOf("WEIGHTS" to watch), era) { currentTime }
        backgroundScope.launch { watch.run() }
        advanceTimeBy(5)
        expectThat(watch.knownPosition.era).isEqualTo(WRONG_ERA)
        expectThat(copies.addStatus(PeerMessage.InstanceNews("NOBODY"))).isEqualTo(PeerMessage.InstanceNews("NOBODY"))
        expectThat(copies.offer(PeerMessage.ObjectsWanted("WEIGHTS", 0))).isNull()
    }

    // Engines that have seen a token of a wrong era refuse all orders with those of the right one.
    @Test
    fun `no lease has a token of a wrong era`() = runTest {
        memory.restore(times = 1)
        val clock = Clock { currentTime }
        val pauses = PauseDetector(clock) { currentTime }
        val lease = OrderLease(Incarnation(InstanceId("a"), 1), store, backgroundScope, SILENT_LOG, pauses, 3_000)
        val eras = HashSet<Long>()
        repeat(800) { tick ->
            if (tick in WRONG_TICKS) memory.nextEra = WRONG_ERA
            lease.tick(wanted = true)
            lease.held()?.let { eras += StorePosition.ofNumber(it.fencingToken).era }
            advanceTimeBy(60)
        }
        expectThat(eras.toList()).isEqualTo(listOf(1L))
        expectThat(lease.held()).isNotNull()
    }

    // A response with too low an era, such as one from behind the store, would undo the news of a restore.
    @Test
    fun `one response of a lower era does not withdraw a later one`() = runTest {
        store.list(ObjectKind.WEIGHTS)
        memory.restore(times = 2)
        store.read(ObjectKind.LEASES, "orders")
        memory.nextEra = 0
        store.read(ObjectKind.LEASES, "orders")
        expectThat(era.newest).isEqualTo(2L)
        store.read(ObjectKind.LEASES, "orders")
        expectThat(store.list(ObjectKind.WEIGHTS).isOk).isTrue()
    }

    // Otherwise a restore that is learned while watches wait is withdrawn by their responses.
    @Test
    fun `responses to calls from before an era was learned do not withdraw it`() = runTest {
        store.list(ObjectKind.WEIGHTS)
        val responses = List(3) { CompletableDeferred<Long>() }
        val waiting = ObjectStore(MemoryProtocol, era) { call, _ ->
            val stated = responses[call.target.split(' ')[1].toInt()].await()
            Ok(ControlResponse(200, "4", HeaderFields(listOf(HeaderField(ERA_HEADER, "$stated")))))
        }
        responses.indices.forEach { launch { waiting.read(ObjectKind.LEASES, "$it") } }
        runCurrent()
        responses[0].complete(1)
        runCurrent()
        responses.drop(1).forEach { it.complete(0) }
        runCurrent()
        expectThat(era.newest).isEqualTo(1L)
    }

    private fun TestScope.watch(): ObjectWatch {
        val clock = Clock { currentTime }
        val self = Member(InstanceId("a"), "a:1", ZoneId("z"))
        val membership = Membership(self).also { it.update(listOf(self)) }
        val runtime = ControlRuntime(backgroundScope, ControlTicks(clock, offsetMillis = 0) { 100 }, SILENT_LOG, clock)
        val context = WatchContext(store, WatchPolicy(membership.tree, clock, 2_500), runtime)
        return ObjectWatch(ObjectKind.WEIGHTS, context, IgnoringListener)
    }

    /** Lets the store come back [times] times from a copy of its present objects. */
    private fun MemoryStore.restore(times: Int) {
        keepCopy()
        repeat(times) { restore() }
    }

    private object IgnoringListener : ObjectListener {
        override fun onList(objects: List<StoredObject>) = Unit

        override fun onChange(change: ObjectChange) = Unit
    }

    private companion object {
        const val WRONG_ERA = 5_000L

        // The first response, and later ones, each followed by right ones.
        val WRONG_TICKS = setOf(0, 200, 400, 560)
    }
}
