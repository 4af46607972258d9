package org.parsleymoor.gateway.control

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.opentelemetry.api.trace.Span
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.cancel
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.emptyFlow
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.parsleymoor.clients.ListedInstance
import org.parsleymoor.clients.PlatformClient
import org.parsleymoor.clients.PlatformFailure
import org.parsleymoor.clients.ServiceCall
import org.parsleymoor.clients.StoredObject
import org.parsleymoor.clients.WatchEvent
import org.parsleymoor.configuration.ServiceDeclaration
import org.parsleymoor.core.Clock
import org.parsleymoor.core.Incarnation
import org.parsleymoor.core.InstanceId
import org.parsleymoor.core.OrganisationId
import org.parsleymoor.core.RequestId
import org.parsleymoor.execution.atmostonce.ExecutionAnswer
import org.parsleymoor.execution.atmostonce.KeyedCall
import org.parsleymoor.execution.atmostonce.NotRunReason
import org.parsleymoor.execution.atmostonce.RunOutcome
import org.parsleymoor.execution.atmostonce.ServiceResponse
import org.parsleymoor.execution.atmostonce.Ticket
import org.parsleymoor.gateway.serving.AtMostOnceCall
import org.parsleymoor.gateway.serving.ForwardResult
import org.parsleymoor.gateway.serving.PeerCallForwarder
import org.parsleymoor.gateway.serving.ServiceGroupCall
import org.parsleymoor.gateway.serving.TicketExecutor
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import java.util.concurrent.atomic.AtomicInteger

class ClaimDeskTest {
    private val scope = CoroutineScope(Dispatchers.Default)
    private val platform = InMemoryPlatform()
    private val runs = AtomicInteger()

    @AfterEach
    fun stop() = scope.cancel()

    /** Guards against a second run when a caller repeats its call at another gateway (I8). */
    @Test
    fun `a key that is used at three gateways at once runs once`() {
        val executors = (1..3).map { executor("gateway-$it") }

        runBlocking { executors.mapIndexed { index, executor -> async { run(executor, "r$index") } }.awaitAll() }

        expectThat(runs.get()).isEqualTo(1)
    }

    /** Guards against a repeated call that does not get the response of the first call. */
    @Test
    fun `a repeated call at the same gateway gets the retained response`() {
        val executor = executor("gateway-1")

        val answers = runBlocking { listOf(run(executor, "r1"), run(executor, "r2")) }

        expectThat(answers).all { isA<ExecutionAnswer.Response>() }
        expectThat(runs.get()).isEqualTo(1)
    }

    /** Guards against a second run, or a lost call, when the response to the claim is lost. */
    @Test
    fun `a call runs once when the response to its claim was lost`() {
        platform.loseWriteResponses = 1

        val answer = runBlocking { run(executor("gateway-1"), "r1") }

        expectThat(answer).isA<ExecutionAnswer.Response>()
    }

    /** Guards against a call that runs without a claim while the platform is down. */
    @Test
    fun `a call is refused as not run while the platform is down`() {
        platform.up = false

        val answer = runBlocking { run(executor("gateway-1"), "r1") }

        expectThat(answer).isEqualTo(ExecutionAnswer.NotRun(NotRunReason.PLATFORM_UNAVAILABLE))
        expectThat(runs.get()).isEqualTo(0)
    }

    private fun executor(name: String): ClaimExecutor {
        val self = Incarnation(InstanceId(name), 1)
        return ClaimExecutor(self, platform, TicketExecutor(self, NoPeers, scope), NoPeers, Clock.System, scope)
            .also { it.start() }
    }

    private suspend fun run(executor: ClaimExecutor, request: String): ExecutionAnswer {
        val keyed = KeyedCall(RequestId(request), OrganisationId("estate"), "weighing-1", "fingerprint")
        val group = ServiceDeclaration("payouts", "kind=service")
        val serviceCall =
            ServiceGroupCall(keyed.request, group, ServiceCall("POST", "/pay"), Long.MAX_VALUE, Span.getInvalid())
        val call = AtMostOnceCall(keyed, serviceCall) {
            runs.incrementAndGet()
            RunOutcome.Responded(ServiceResponse(200, "text/plain", "done".encodeToByteArray()))
        }
        return executor.execute(call)
    }
}

/** A forwarder that reaches no other gateway. */
private object NoPeers : PeerCallForwarder {
    override suspend fun toIssuer(ticket: Ticket, call: AtMostOnceCall): ForwardResult = ForwardResult.NotSent

    override suspend fun toOwner(shard: Int, call: AtMostOnceCall): ForwardResult = ForwardResult.NotSent

    override suspend fun toClaimer(claimer: Incarnation, call: AtMostOnceCall): ForwardResult = ForwardResult.NotSent
}

/** An in-memory object service. */
private class InMemoryPlatform : PlatformClient {
    var up = true
    var loseWriteResponses = 0
    private val objects = HashMap<String, StoredObject>()

    override suspend fun read(kind: String, name: String): Result<StoredObject?, PlatformFailure> =
        synchronized(this) { if (up) Ok(objects["$kind/$name"]) else Err(down(false)) }

    override suspend fun list(kind: String): Result<List<StoredObject>, PlatformFailure> = Ok(emptyList())

    override suspend fun write(
        kind: String,
        name: String,
        value: String,
        expectedVersion: Long,
        writeId: String,
    ): Result<Long, PlatformFailure> = synchronized(this) {
        val current = objects["$kind/$name"]
        when {
            !up -> Err(down(false))
            (current?.version ?: 0) != expectedVersion -> Err(PlatformFailure.Conflict(expectedVersion, current))
            else -> store(StoredObject(kind, name, expectedVersion + 1, 1, writeId, value))
        }
    }

    override suspend fun delete(kind: String, name: String, expectedVersion: Long): Result<Unit, PlatformFailure> =
        Ok(Unit)

    override fun watch(kind: String, revision: Long, silenceMillis: Long): Flow<WatchEvent> = emptyFlow()

    override suspend fun instances(): Result<List<ListedInstance>, PlatformFailure> = Ok(emptyList())

    private fun store(next: StoredObject): Result<Long, PlatformFailure> {
        objects["${next.kind}/${next.name}"] = next
        return if (loseWriteResponses-- > 0) Err(down(true)) else Ok(next.version)
    }

    private fun down(mayHaveTakenEffect: Boolean) = PlatformFailure.Unavailable(
        "the platform is down",
        mayHaveTakenEffect
    )
}
