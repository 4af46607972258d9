package org.parsleymoor.entry

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import org.parsleymoor.core.Clock
import org.parsleymoor.core.Incarnation
import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.PauseDetector
import org.parsleymoor.entry.control.OrderLease
import org.parsleymoor.entry.control.StoreEra
import org.parsleymoor.entry.protocol.ObjectKind
import org.parsleymoor.entry.protocol.StorePosition
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull

/** The order lease when the object store comes back from a copy that lacks its record, or has an older one. */
@OptIn(ExperimentalCoroutinesApi::class)
class OrderLeaseRestoreTest {
    private val memory = MemoryStore()
    private val uses = ArrayList<Use>()

    // Engines that check tokens refuse lower ones; the others carry out the orders of two holders by turns.
    @ParameterizedTest
    @ValueSource(ints = [2, 9, 50])
    fun `tokens rise over restores and two holders keep the lease period apart`(count: Int) = runTest {
        memory.keepCopy()
        val all = start(count)
        tick(all, 3_000)
        memory.restore()
        tick(all, 8_000)
        memory.keepCopy()
        tick(all, 2_000)
        memory.restore()
        tick(all, 8_000)
        expectThat(uses.map { it.token / ERA_STEP }.distinct()).isEqualTo(listOf(0L, 1L, 2L))
        expectOneHolderAtATime()
    }

    // The holder wakes with a token of the former era, and its record may have the revision of another's.
    @Test
    fun `a holder that was paused during the restore does not use its lease when it wakes`() = runTest {
        memory.keepCopy()
        val all = start(2)
        tick(all, 1_000)
        val holder = all.single { it.lease.held() != null }
        val others = all - holder
        memory.restore()
        holder.pausedMillis += 6_000
        tick(others, 6_000)
        expectThat(others.single().lease.held()).isNotNull()
        expectThat(holder.lease.held()).isNull()
        tick(all, 6_000)
        expectOneHolderAtATime()
    }

    // A holder that is cut off from the store hears of the restore from a peer first.
    @Test
    fun `a lease is void at once when a peer tells of the restore`() = runTest {
        val one = start(1).single()
        tick(listOf(one), 1_000)
        expectThat(one.lease.held()).isNotNull()
        one.era.learnFromPeer(1, "peer")
        expectThat(one.lease.held()).isNull()
    }

    // Otherwise tokens above 53 bits are rounded on the way, and two holders have the same.
    @Test
    fun `a fencing token is the bare revision in era 0 and exact as a JSON number in all eras`() {
        val last = StorePosition(StorePosition.MAX_ERA, revision = ERA_STEP - 1)
        expectThat(StorePosition(0, 17).number).isEqualTo(17L)
        expectThat(last.number.toDouble().toLong()).isEqualTo(last.number)
        expectThat(StorePosition(1, 1).number).isGreaterThan(StorePosition(0, ERA_STEP - 1).number)
        expectThat(StorePosition.ofNumber(last.number)).isEqualTo(last)
    }

    private fun expectOneHolderAtATime() {
        uses.zipWithNext().forEach { (former, next) ->
            if (former.holder == next.holder) {
                expectThat(next.token).isGreaterThanOrEqualTo(former.token)
            } else {
                expectThat(next.token).isGreaterThan(former.token)
                expectThat(next.atMillis - former.atMillis).isGreaterThanOrEqualTo(LEASE_MILLIS)
            }
        }
    }

    private fun TestScope.start(count: Int): List<Contender> = (1..count).map { Contender("i$it", this) }

    /** Lets [contenders] contend for the lease for [millis], and records every possible use. */
    private fun TestScope.tick(contenders: List<Contender>, millis: Long) {
        val untilMillis = currentTime + millis
        while (currentTime < untilMillis) {
            contenders.forEach { contender ->
                contender.lease.tick(wanted = true)
                contender.lease.held()?.let { uses += Use(contender.name, it.fencingToken, currentTime) }
            }
            if (currentTime % 1_000 < TICK_MILLIS) memory.put(ObjectKind.WEIGHTS, "other", "$currentTime")
            advanceTimeBy(TICK_MILLIS)
        }
    }

    private data class Use(val holder: String, val token: Long, val atMillis: Long)

    private inner class Contender(val name: String, scope: TestScope) {
        var pausedMillis = 0L
        val era = StoreEra(SILENT_LOG)
        val lease = OrderLease(
            Incarnation(InstanceId(name), 1),
            memory.client(era),
            scope.backgroundScope,
            SILENT_LOG,
            PauseDetector(Clock { scope.currentTime }) { scope.currentTime + pausedMillis },
            LEASE_MILLIS,
        )
    }

    private companion object {
        const val LEASE_MILLIS = 3_000L
        const val TICK_MILLIS = 60L
        const val ERA_STEP = 1L shl 40
    }
}
