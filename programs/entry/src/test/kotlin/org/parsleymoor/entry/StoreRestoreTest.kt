package org.parsleymoor.entry

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import kotlinx.coroutines.ExperimentalCoroutinesApi
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
import org.parsleymoor.entry.control.Membership
import org.parsleymoor.entry.control.ObjectListener
import org.parsleymoor.entry.control.ObjectStore
import org.parsleymoor.entry.control.ObjectWatch
import org.parsleymoor.entry.control.PeerCopies
import org.parsleymoor.entry.control.StoreEra
import org.parsleymoor.entry.control.StoreFailure
import org.parsleymoor.entry.control.WatchContext
import org.parsleymoor.entry.control.WatchPolicy
import org.parsleymoor.entry.net.ControlResponse
import org.parsleymoor.entry.protocol.ControlRequest
import org.parsleymoor.entry.protocol.DecodeFailure
import org.parsleymoor.entry.protocol.ObjectChange
import org.parsleymoor.entry.protocol.ObjectKind
import org.parsleymoor.entry.protocol.ObjectPage
import org.parsleymoor.entry.protocol.ObjectProtocol
import org.parsleymoor.entry.protocol.StorePosition
import org.parsleymoor.entry.protocol.StoredObject
import org.parsleymoor.peering.PeerMessage
import org.parsleymoor.relay.exchange.Member
import org.parsleymoor.relay.exchange.PeerTree
import org.parsleymoor.relay.http.HeaderField
import org.parsleymoor.relay.http.HeaderFields
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThan
import strikt.assertions.isTrue

/** The object store comes back from a copy some seconds old and gives out the same revisions again. */
@OptIn(ExperimentalCoroutinesApi::class)
class StoreRestoreTest {
    private val memory = MemoryStore()

    // Otherwise a route that is added after the restore is answered with 404 by every instance, until the revision has
    // passed that of before; changes made up to then are missing for good.
    @ParameterizedTest
    @ValueSource(ints = [9, 50, 300])
    fun `all instances have the changes after a restore in time, also half of them that only reach peers`(count: Int) =
        runTest {
            val all = start(count)
            all.filterIndexed { index, _ -> index % 2 == 1 }.forEach { it.cutOff = true }
            writeAndRestore(all, lostChanges = 5)
            memory.put(ObjectKind.WEIGHTS, "after", "1")
            run(all, APPLY_MILLIS)
            all.forEach { expectThat(it.content).isEqualTo(mapOf("kept" to "1", "after" to "1")) }
        }

    // The copies are as far as the store, so that no watch is refused: changes of before and after would be mixed.
    @ParameterizedTest
    @ValueSource(ints = [9, 50, 300])
    fun `revisions that are given out again with other content replace the former ones`(count: Int) = runTest {
        val all = start(count)
        writeAndRestore(all, lostChanges = 1)
        memory.put(ObjectKind.WEIGHTS, "after", "1")
        run(all, APPLY_MILLIS)
        all.forEach { expectThat(it.content).isEqualTo(mapOf("kept" to "1", "after" to "1")) }
    }

    // Calls are billed, and refused beyond a rate: instances read the list without pause and ignored it.
    @ParameterizedTest
    @ValueSource(ints = [9, 50, 300])
    fun `a restore costs a few calls to the store`(count: Int) = runTest {
        val all = start(count)
        run(all, SETTLE_MILLIS)
        val calmFrom = memory.calls
        run(all, SETTLE_MILLIS)
        val calmCalls = memory.calls - calmFrom
        writeAndRestore(all, lostChanges = 5)
        val restoredFrom = memory.calls
        run(all, SETTLE_MILLIS)
        expectThat(memory.calls - restoredFrom).isLessThan(calmCalls + 20)
    }

    // Otherwise copies of the first restore are kept, or the second is taken for the first.
    @ParameterizedTest
    @ValueSource(ints = [9, 50, 300])
    fun `a second restore while the first is still being learned leads to the last state`(count: Int) = runTest {
        val all = start(count)
        all.filterIndexed { index, _ -> index % 2 == 0 }.forEach { it.cutOff = true }
        writeAndRestore(all, lostChanges = 5)
        memory.put(ObjectKind.WEIGHTS, "between", "1")
        run(all, 100)
        memory.restore()
        memory.put(ObjectKind.WEIGHTS, "after", "1")
        run(all, APPLY_MILLIS)
        all.forEach { expectThat(it.content).isEqualTo(mapOf("kept" to "1", "after" to "1")) }
        all.forEach { expectThat(it.era.newest).isEqualTo(2L) }
    }

    // Otherwise an instance that reads nothing but its registration goes on with copies that are known to be outdated.
    @Test
    fun `any response of the store shows the restore to all watches of the instance`() = runTest {
        val one = start(1).single()
        writeAndRestore(listOf(one), lostChanges = 1)
        expectThat(one.watch.isOfNewestEra).isTrue()
        one.store.read(ObjectKind.LEASES, "orders")
        expectThat(one.watch.isOfNewestEra).isFalse()
        advanceTimeBy(50)
        expectThat(one.content).isEqualTo(mapOf("kept" to "1"))
    }

    // Such a response was on its way when the store came back; taken, it would bring back changes that were lost.
    @Test
    fun `a response of the former era that arrives after one of the later era is a failure`() = runTest {
        val era = StoreEra(SILENT_LOG)
        val responses = ArrayDeque(listOf(1L to "4\na 4 false 1", 0L to "9\nb 9 false 1"))
        val store = ObjectStore(MemoryProtocol, era) { _, _ ->
            val (responseEra, body) = responses.removeFirst()
            Ok(ControlResponse(200, body, HeaderFields(listOf(HeaderField(ERA_HEADER, "$responseEra")))))
        }
        expectThat(store.list(ObjectKind.WEIGHTS).get()?.position).isEqualTo(StorePosition(era = 1, revision = 4))
        expectThat(store.watch(ObjectKind.WEIGHTS, 4, 10).getError()).isEqualTo(StoreFailure.FormerEra(0))
        expectThat(era.newest).isEqualTo(1L)
    }

    // Objects of two eras in one list would be taken for the state of the later one.
    @Test
    fun `a list whose pages are of two eras is read again`() = runTest {
        val eras = ArrayDeque(listOf(0L, 1L, 1L, 1L))
        val protocol = object : ObjectProtocol by MemoryProtocol {
            override fun list(kind: ObjectKind, after: String?, allowStale: Boolean) =
                ControlRequest("LIST", after.orEmpty())

            override fun page(body: String): Result<ObjectPage, DecodeFailure> =
                Ok(ObjectPage(listOf(StoredObject(body, 1, "1")), after = body.takeIf { it.endsWith("first") }, 5))
        }
        val store = ObjectStore(protocol, StoreEra(SILENT_LOG)) { call, _ ->
            val era = eras.removeFirst()
            val page = if (call.target.isEmpty()) "$era first" else "$era last"
            Ok(ControlResponse(200, page, HeaderFields(listOf(HeaderField(ERA_HEADER, "$era")))))
        }
        val list = store.list(ObjectKind.WEIGHTS).get()
        expectThat(list?.items?.map { it.name }).isEqualTo(listOf("1 first", "1 last"))
        expectThat(list?.position?.era).isEqualTo(1L)
    }

    // Otherwise one wrong message makes an instance ignore the store for good.
    @Test
    fun `an era that the store cannot have is not learned from a peer`() {
        val era = StoreEra(SILENT_LOG)
        listOf(-1L, StorePosition.MAX_ERA + 1, Long.MAX_VALUE).forEach { era.learnFromPeer(it, "peer") }
        expectThat(era.newest).isEqualTo(0L)
    }

    // Otherwise an unreadable header is taken for the first era, and the copy for newer than it is.
    @Test
    fun `responses whose era cannot be read are not applied`() = runTest {
        val one = start(1).single()
        memory.statesUnreadableEra = true
        memory.put(ObjectKind.WEIGHTS, "after", "1")
        run(listOf(one), APPLY_MILLIS)
        expectThat(one.content).isEqualTo(mapOf("kept" to "1"))
        memory.statesUnreadableEra = false
        run(listOf(one), APPLY_MILLIS)
        expectThat(one.content).isEqualTo(mapOf("kept" to "1", "after" to "1"))
    }

    /** Restores the store after all instances have learned of changes that the copy does not have. */
    private fun TestScope.writeAndRestore(all: List<Instance>, lostChanges: Int) {
        memory.keepCopy()
        repeat(lostChanges) { memory.put(ObjectKind.WEIGHTS, "lost$it", "1") }
        run(all, APPLY_MILLIS)
        all.forEach { expectThat(it.content.size).isEqualTo(lostChanges + 1) }
        memory.restore()
    }

    /** Starts [count] instances in six zones and runs them until all have the first object. */
    private fun TestScope.start(count: Int): List<Instance> {
        memory.put(ObjectKind.WEIGHTS, "kept", "1")
        val members = (1..count).map { Member(InstanceId("i$it"), "i$it:1", ZoneId("z${it % 6}")) }
        val all = members.map { member -> Instance(this, member, members) }
        run(all, 500)
        return all
    }

    /** Lets the instances exchange messages with their neighbours for [millis]. */
    private fun TestScope.run(all: List<Instance>, millis: Long) {
        val byId = all.associateBy { it.id }
        val links = all.flatMap { one ->
            one.tree.neighbours(byId.keys, currentTime).mapNotNull { byId[it.id] }.map { setOf(one, it) }
        }.distinct().map { it.toList() }
        repeat((millis / STATUS_PERIOD_MILLIS).toInt()) {
            advanceTimeBy(STATUS_PERIOD_MILLIS)
            links.forEach { (one, other) ->
                one.sendTo(other)
                other.sendTo(one)
            }
        }
    }

    private inner class Instance(scope: TestScope, self: Member, members: List<Member>) : ObjectListener {
        private val clock = Clock { scope.currentTime }
        private val membership = Membership(self).also { it.update(members) }
        private val ticks = ControlTicks(clock, offsetMillis = 0) { 100 }
        private val policy = WatchPolicy(membership.tree, clock, APPLY_MILLIS)
        private val runtime = ControlRuntime(scope.backgroundScope, ticks, SILENT_LOG, clock)
        val id = self.id
        val tree: PeerTree get() = membership.tree
        val era = StoreEra(SILENT_LOG)
        var cutOff = false
        val store = memory.client(era) { cutOff }
        private val objects = LinkedHashMap<String, String>()
        val content: Map<String, String> get() = objects
        val watch = ObjectWatch(ObjectKind.WEIGHTS, WatchContext(store, policy, runtime), this)
        private val copies = PeerCopies(mapOf("WEIGHTS" to watch), era, clock)

        init {
            scope.backgroundScope.launch { watch.run() }
        }

        fun sendTo(other: Instance) {
            other.copies.receiveStatus(
                copies.addStatus(PeerMessage.InstanceNews("NOBODY")),
                id.value
            ).forEach { wanted ->
                copies.offer(wanted)?.let { other.copies.accept(it, id.value) }
            }
        }

        override fun onList(objects: List<StoredObject>) {
            this.objects.clear()
            objects.associateTo(this.objects) { it.name to it.content }
        }

        override fun onChange(change: ObjectChange) {
            if (change.removed) objects -= change.value.name else objects[change.value.name] = change.value.content
        }
    }

    private companion object {
        const val APPLY_MILLIS = 2_500L
        const val STATUS_PERIOD_MILLIS = 100L
        const val SETTLE_MILLIS = 5_000L
    }
}
