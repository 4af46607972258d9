package org.parsleymoor.execution.atmostonce

import org.junit.jupiter.api.Test
import org.parsleymoor.core.Incarnation
import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.OrganisationId
import org.parsleymoor.core.RequestId
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.filterIsInstance
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.single

class ClaimLedgerTest {
    private val self = Incarnation(InstanceId("gateway-1"), 1)
    private val other = Incarnation(InstanceId("gateway-2"), 1)
    private val settings = ClaimSettings(shards = 1)
    private val ledger = ClaimLedger(self, settings)

    /** Guards against dispatching a call before its claim is known to be stored. */
    @Test
    fun `a call runs only when its claim is written`() {
        val write = writeOf(ledger, call("r1", "k1"))

        val actions = ledger.handle(10, ClaimEvent.HeadWritten(0, write.writeId, 1))

        expectThat(actions).containsExactly(ClaimAction.Execute(ExecutionAction.Run(call("r1", "k1"))))
    }

    /** Guards against one platform write per call under load. */
    @Test
    fun `all calls that arrive during a write share the next one`() {
        val first = writeOf(ledger, call("r0", "k0"))
        (1..100).forEach { ledger.call(5, call("r$it", "k$it")) }

        ledger.handle(10, ClaimEvent.HeadWritten(0, first.writeId, 1))
        val actions = ledger.tick(50)

        expectThat(actions).filterIsInstance<ClaimAction.WriteHead>().single().get { calls }.isEqualTo(100)
    }

    /** Guards against a second run when two gateways claim the same key. */
    @Test
    fun `a conflict shows the other claim and the call goes to its claimer`() {
        val write = writeOf(ledger, call("r1", "k1"))
        val claims = write.head.claims.map { it.copy(claimer = other) }

        val actions = ledger.handle(
            10,
            ClaimEvent.HeadConflicted(0, write.writeId, StoredHead(ClaimHead(claims), 1, "w"))
        )

        expectThat(actions).containsExactly(ClaimAction.Execute(ExecutionAction.Forward(call("r1", "k1"), other)))
    }

    /** Guards against treating a write whose response was lost as failed. */
    @Test
    fun `a write whose response was lost is recognised when the head is read back`() {
        val write = writeOf(ledger, call("r1", "k1"))
        ledger.handle(10, ClaimEvent.HeadWriteFailed(0, write.writeId, mayHaveTakenEffect = true))

        val actions = ledger.handle(20, ClaimEvent.HeadRead(0, StoredHead(write.head, 1, write.writeId)))

        expectThat(actions).containsExactly(ClaimAction.Execute(ExecutionAction.Run(call("r1", "k1"))))
    }

    /** Guards against running a refused key whose claim was never stored, as found by exploration seed 5. */
    @Test
    fun `a key that was refused while its claim was uncertain is claimed again before it runs`() {
        val write = writeOf(ledger, call("r1", "k1"))
        ledger.handle(10, ClaimEvent.HeadWriteFailed(0, write.writeId, mayHaveTakenEffect = true))
        ledger.handle(20, ClaimEvent.ReadFailed(0))

        val actions = ledger.call(1_000, call("r2", "k1"))

        expectThat(actions).containsExactly(ClaimAction.ReadHead(0))
    }

    /** Guards against losing claims from the index when a head write after sealing is lost (exploration seed 508). */
    @Test
    fun `claims of a segment whose head write was lost are still known`() {
        val small = ClaimLedger(self, settings.copy(sealBytes = 1))
        val claim = writeOf(small, call("r1", "k1")).head.claims.single().copy(claimer = other)
        val sealed = ClaimLedger(self, settings.copy(sealBytes = 1))
        sealed.call(0, call("r2", "k2"))
        sealed.handle(1, ClaimEvent.HeadRead(0, StoredHead(ClaimHead(listOf(claim)), 1, "w1")))
        sealed.handle(2, ClaimEvent.SegmentWritten(0, 1))
        sealed.handle(3, ClaimEvent.ReadFailed(0))
        sealed.handle(4, ClaimEvent.HeadRead(0, StoredHead(ClaimHead(listOf(claim)), 2, "w2")))

        val actions = sealed.call(1_000, call("r3", "k1"))

        expectThat(actions).contains(ClaimAction.Execute(ExecutionAction.Forward(call("r3", "k1"), other)))
    }

    /** Guards against running a second copy of a request after the first copy was refused as not run. */
    @Test
    fun `a copy of a refused request is refused as well`() {
        ledger.call(0, call("r1", "k1"))
        ledger.handle(10, ClaimEvent.ReadFailed(0))

        val actions = ledger.call(1_000, call("r1", "k1"))

        expectThat(actions).single().isA<ClaimAction.Execute>().get { action }
            .isA<ExecutionAction.Answer>().get { answer }.isA<ExecutionAnswer.NotRun>()
    }

    /** Guards against calls that wait while the platform is down. */
    @Test
    fun `calls are refused as not run while the platform is down`() {
        ledger.call(0, call("r1", "k1"))

        val actions = ledger.handle(10, ClaimEvent.ReadFailed(0)) + ledger.call(20, call("r2", "k2"))

        expectThat(actions).hasSize(2).all {
            isA<ClaimAction.Execute>().get { action }.isA<ExecutionAction.Answer>()
                .get { answer }.isEqualTo(ExecutionAnswer.NotRun(NotRunReason.PLATFORM_UNAVAILABLE))
        }
    }

    /** Guards against a second run when a caller repeats an answered call. */
    @Test
    fun `a repeated call gets the stored response without a platform operation`() {
        val response = ServiceResponse(200, "application/json", "{}".encodeToByteArray())
        val write = writeOf(ledger, call("r1", "k1"))
        ledger.handle(10, ClaimEvent.HeadWritten(0, write.writeId, 1))
        ledger.finished(call("r1", "k1"), RunOutcome.Responded(response))

        val actions = ledger.call(30, call("r2", "k1"))

        expectThat(actions).containsExactly(
            ClaimAction.Execute(ExecutionAction.Answer(RequestId("r2"), ExecutionAnswer.Response(response))),
        )
    }

    /** Guards against a second run when the claimer is gone. */
    @Test
    fun `a call whose claimer does not answer is unknown`() {
        val action = ledger.forwarded(call("r1", "k1"), null)

        expectThat(action).isEqualTo(
            ClaimAction.Execute(
                ExecutionAction.Answer(RequestId("r1"), ExecutionAnswer.Unknown(UnknownReason.CLAIMER_GONE)),
            ),
        )
    }

    /** Guards against heads larger than the platform's limit for a value. */
    @Test
    fun `a head is sealed at half a megabyte`() {
        val bytes = ArrayList<Int>()
        var write = writeOf(ledger, call("r0", "k0"))
        repeat(100) { round ->
            bytes += write.head.encodedBytes
            val nowMillis = (round + 1) * 100L
            repeat(100) { ledger.call(nowMillis, call("r$round-$it", "k$round-$it")) }
            val written = ClaimEvent.HeadWritten(0, write.writeId, write.expectedVersion + 1)
            val next = ledger.handle(nowMillis, written)
            val seal = next.filterIsInstance<ClaimAction.WriteSegment>().firstOrNull()
            val sealed = seal?.let { ledger.handle(nowMillis, ClaimEvent.SegmentWritten(0, it.number)) }
            write = (sealed ?: next).filterIsInstance<ClaimAction.WriteHead>().single()
        }

        expectThat(bytes.max()).isLessThan(600_000)
    }

    /** Guards against platform operations of an idle ledger. */
    @Test
    fun `nothing is written while no call waits`() {
        expectThat(ledger.tick(1_000)).isEmpty()
    }

    /** Guards against claims that stay in the head forever at low load. */
    @Test
    fun `a write drops claims older than the configured retention time`() {
        val old = Claim("old", other, 0)
        ledger.retain(1_000)
        ledger.call(1_001, call("r1", "k1"))

        val write = ledger.handle(1_001, headRead(listOf(old))).filterIsInstance<ClaimAction.WriteHead>().single()

        expectThat(write.head.claims.map { it.claimer }).containsExactly(self)
    }

    /** Guards against dropping a claim too early, after which its key could run again. */
    @Test
    fun `a claim within the retention time is kept`() {
        val claim = Claim("recent", other, 1)
        ledger.retain(1_000)
        ledger.call(1_001, call("r1", "k1"))

        val write = ledger.handle(1_001, headRead(listOf(claim))).filterIsInstance<ClaimAction.WriteHead>().single()

        expectThat(write.head.claims).contains(claim)
    }

    /** Guards against a head that refers to a deleted segment, which would block all other processes. */
    @Test
    fun `an expired segment is deleted only when the head no longer refers to it`() {
        ledger.retain(1_000)
        ledger.call(1_001, call("r1", "k1"))
        ledger.handle(1_001, headRead(emptyList(), listOf(SegmentReference(7, 0))))

        val actions = ledger.handle(1_002, ClaimEvent.SegmentRead(0, 7, listOf(Claim("old", other, 0))))
        val write = actions.filterIsInstance<ClaimAction.WriteHead>().single()
        val afterwards = ledger.handle(1_003, ClaimEvent.HeadWritten(0, write.writeId, 2))

        expectThat(write.head.segments).isEmpty()
        expectThat(actions).filterIsInstance<ClaimAction.DeleteSegment>().isEmpty()
        expectThat(afterwards).contains(ClaimAction.DeleteSegment(0, 7))
    }

    /** Guards against a shard that refuses forever because another process deleted a segment that it needs. */
    @Test
    fun `the head is read again when a segment cannot be read`() {
        ledger.call(0, call("r1", "k1"))
        ledger.handle(1, headRead(emptyList(), listOf(SegmentReference(7, 0))))
        ledger.handle(2, ClaimEvent.ReadFailed(0))

        val actions = ledger.call(1_000, call("r2", "k1"))

        expectThat(actions).containsExactly(ClaimAction.ReadHead(0))
    }

    /** Guards against forwarding a call to a claimer whose claim has been dropped from the head. */
    @Test
    fun `a key whose claim was dropped is claimed again`() {
        val write = writeOf(ledger, call("r1", "k1"))
        ledger.handle(
            10,
            ClaimEvent.HeadConflicted(0, write.writeId, stored(write.head.claims.map { it.by(other) }, 1))
        )
        val second = writeAfter(100, ledger.call(100, call("r2", "k2")))
        ledger.handle(110, ClaimEvent.HeadConflicted(0, second.writeId, stored(emptyList(), 2)))

        val third = writeAfter(200, ledger.call(200, call("r3", "k1")))

        expectThat(third.head.claims.map { it.claimer }).contains(self)
    }

    private fun Claim.by(claimer: Incarnation) = copy(claimer = claimer)

    private fun stored(claims: List<Claim>, version: Long) = StoredHead(ClaimHead(claims), version, "w$version")

    private fun writeAfter(nowMillis: Long, actions: List<ClaimAction>): ClaimAction.WriteHead =
        (actions + ledger.tick(nowMillis)).filterIsInstance<ClaimAction.WriteHead>().first()

    private fun headRead(claims: List<Claim>, segments: List<SegmentReference> = emptyList()) =
        ClaimEvent.HeadRead(0, StoredHead(ClaimHead(claims, segments), 1, "w1"))

    private fun call(request: String, key: String): KeyedCall =
        KeyedCall(RequestId(request), OrganisationId("estate"), key, "fingerprint")

    private fun writeOf(ledger: ClaimLedger, call: KeyedCall): ClaimAction.WriteHead {
        ledger.call(0, call)
        return ledger.handle(0, ClaimEvent.HeadRead(0, null)).filterIsInstance<ClaimAction.WriteHead>().single()
    }
}
