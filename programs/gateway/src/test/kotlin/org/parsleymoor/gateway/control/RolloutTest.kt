package org.parsleymoor.gateway.control

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.parsleymoor.clients.DesiredState
import org.parsleymoor.clients.EngineLoad
import org.parsleymoor.clients.OrderLeaseState
import org.parsleymoor.clients.WireJson
import org.parsleymoor.configuration.Configuration
import org.parsleymoor.configuration.LimitsDeclaration
import org.parsleymoor.configuration.ModelDeclaration
import org.parsleymoor.configuration.RolloutDeclaration
import org.parsleymoor.core.Clock
import org.parsleymoor.core.ModelId
import org.parsleymoor.core.WeightVersion
import org.parsleymoor.gateway.GatewayHarness
import org.parsleymoor.standins.EngineFaults
import org.parsleymoor.standins.Fencing
import org.parsleymoor.standins.ModelText
import org.parsleymoor.standins.OrderRun
import org.parsleymoor.standins.PlatformFaults
import org.parsleymoor.standins.RunOutcome
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import java.util.concurrent.atomic.AtomicBoolean

/** Rollouts by two gateways over real connections while the components around them fail. */
class RolloutTest {
    private val harness = RolloutHarness()
    private val target = DesiredState.Loaded(ModelId("leaf"), WeightVersion("2"))

    @AfterEach
    fun close() {
        harness.close()
    }

    /** Guards against a rollout that interrupts service, and against completions from the wrong version. */
    @Test
    fun `every completion is answered during a rollout of eight engines and after its end`(): Unit = runBlocking {
        harness.start(ENGINES) { configuration(it, revision = 1) }
        val finished = AtomicBoolean()
        val callers = List(CALLERS) { caller -> async { answers(caller, finished) } }
        harness.publish(rollout(revision = 2))
        harness.eventually { loaded() == ENGINES }
        val beforeMillis = Clock.System.nowMillis()
        harness.publish(configuration(harness.engines, revision = 3, version = "2"))
        harness.eventually { (0..1).all { harness.status(it).revision == 3L } }
        val afterMillis = Clock.System.nowMillis()
        delay(SETTLE_MILLIS)
        finished.set(true)
        val answers = callers.awaitAll().flatten()
        val runs = harness.runs().filter { it.outcome != RunOutcome.REFUSED }
        expectThat(answers.filterNot { expected in it }).isEmpty()
        expectThat(answers.size).isGreaterThan(ENGINES)
        expectThat(runs.filter { it.arrivedAtMillis < beforeMillis && it.version.value != "1" }).isEmpty()
        expectThat(runs.filter { it.arrivedAtMillis > afterMillis + IN_FLIGHT_MILLIS && it.version.value != "2" })
            .isEmpty()
        expectThat(runs.count { it.version.value == "2" }).isGreaterThan(0)
        expectThat(unloads()).isEmpty()
        expectOneLoadEachAndAtMostTwoAtOnce()
    }

    /**
     * Guards against a rollout that stops when the lease holder dies, and against loading again what it had started.
     */
    @Test
    fun `the other gateway completes the rollout of a lease holder that dies`(): Unit = runBlocking {
        harness.start(ENGINES) { configuration(it, revision = 1) }
        harness.publish(rollout(revision = 2))
        harness.eventually { loads().size >= 3 }
        val dead = leaseHolder()
        harness.kill(dead)
        val other = 1 - dead
        harness.eventually { harness.status(other).rollouts.single().loaded.size == ENGINES }
        expectThat(senders(loads())).isEqualTo(setOf("gateway-$dead", "gateway-$other"))
        expectOneLoadEachAndAtMostTwoAtOnce()
    }

    /** Guards against a planned stop that makes the other gateway wait until the lease expires. */
    @Test
    fun `a holder that stops hands its rollout over`(): Unit = runBlocking {
        harness.start(ENGINES) { configuration(it, revision = 1) }
        harness.publish(rollout(revision = 2))
        harness.eventually { loads().size >= 3 }
        val leaving = leaseHolder()
        harness.stop(leaving)
        harness.eventually { harness.status(1 - leaving).rollouts.single().loaded.size == ENGINES }
        expectOneLoadEachAndAtMostTwoAtOnce()
    }

    /** Guards against a second load order after the answer to the first was lost. */
    @Test
    fun `an order whose answer is lost is read back and not repeated`(): Unit = runBlocking {
        harness.start(count = 3, Fencing.IGNORED) { configuration(it, revision = 1, fencing = "ignored") }
        harness.engineFaults(0, EngineFaults(loseOrderAnswers = 1))
        harness.publish(rollout(revision = 2, fencing = "ignored"))
        harness.eventually { loaded() == 3 }
        expectThat(harness.get(harness.ports[leaseHolder()].operations, "/metrics")).contains("outcome=\"lost\"")
        expectOneLoadEachAndAtMostTwoAtOnce()
    }

    /** Guards against treating a confirmation as successful although its answer was lost. */
    @Test
    fun `an engine that checks fencing is confirmed again when the answer is lost`(): Unit = runBlocking {
        harness.start(count = 3) { configuration(it, revision = 1) }
        harness.engineFaults(0, EngineFaults(loseOrderAnswers = 1))
        harness.publish(rollout(revision = 2))
        harness.eventually { loaded() == 3 }
        expectThat(harness.orders(0).count { it.order.wanted is DesiredState.Role }).isEqualTo(2)
        expectOneLoadEachAndAtMostTwoAtOnce()
    }

    /** Guards against orders under a lease that cannot be renewed. */
    @Test
    fun `no order is sent after the lease expires while the platform is down`(): Unit = runBlocking {
        harness.start(ENGINES) { configuration(it, revision = 1) }
        harness.publish(rollout(revision = 2))
        harness.eventually { loads().isNotEmpty() }
        harness.platformFaults(PlatformFaults(down = true))
        val downMillis = Clock.System.nowMillis()
        delay(3 * RolloutHarness.LEASE_MILLIS)
        val sent = harness.allOrders()
        expectThat(sent.maxOf { it.arrivedAtMillis })
            .isLessThanOrEqualTo(downMillis + RolloutHarness.USABLE_MILLIS + IN_FLIGHT_MILLIS)
        expectThat(loads().size).isLessThan(ENGINES)
        expectThat((0..1).map { harness.status(it).orders.lease }).all { isEqualTo(OrderLeaseState.NOT_HELD) }
        harness.platformFaults(PlatformFaults())
        harness.eventually { loaded() == ENGINES }
        expectOneLoadEachAndAtMostTwoAtOnce()
    }

    /** Guards against a lease holder that resumes sending orders when it wakes after its lease has expired. */
    @Test
    fun `a holder paused beyond its lease sends nothing when it wakes`(): Unit = runBlocking {
        harness.start(ENGINES, Fencing.IGNORED) { configuration(it, revision = 1, fencing = "ignored") }
        harness.publish(rollout(revision = 2, fencing = "ignored"))
        harness.eventually { loads().isNotEmpty() }
        harness.platformFaults(PlatformFaults(down = true))
        harness.advanceClock(leaseHolder(), 2 * RolloutHarness.LEASE_MILLIS)
        val wokenMillis = Clock.System.nowMillis()
        delay(RolloutHarness.LEASE_MILLIS)
        expectThat(harness.allOrders().filter { it.arrivedAtMillis > wokenMillis + IN_FLIGHT_MILLIS }).isEmpty()
        expectThat(loads().size).isLessThan(ENGINES)
    }

    /**
     * Guards against interleaved orders of two lease holders at an engine that cannot tell them apart. The lease is
     * released, so that only the maximum delivery time keeps the new holder waiting.
     */
    @Test
    fun `engines that ignore fencing get orders of one holder after those of the other`(): Unit = runBlocking {
        harness.start(ENGINES, Fencing.IGNORED) { configuration(it, revision = 1, fencing = "ignored") }
        harness.publish(rollout(revision = 2, fencing = "ignored"))
        harness.eventually { loads().size >= 3 }
        val leaving = leaseHolder()
        harness.stop(leaving)
        harness.eventually { harness.status(1 - leaving).rollouts.single().loaded.size == ENGINES }
        val orders = harness.allOrders()
        val last = orders.filter { sender(it) == "gateway-$leaving" }.maxOf { it.arrivedAtMillis }
        val first = orders.filter { sender(it) != "gateway-$leaving" }.minOf { it.arrivedAtMillis }
        expectThat(first - last).isGreaterThanOrEqualTo(DELIVERY_MILLIS)
        expectOneLoadEachAndAtMostTwoAtOnce()
    }

    /** Guards against engines that keep the version of an abandoned rollout. */
    @Test
    fun `a rollout that is reverted half way leaves the previous version on every engine`(): Unit = runBlocking {
        val limits = LimitsDeclaration(requestDeadlineMillis = 1_000)
        harness.start(count = 4) { configuration(it, revision = 1).copy(limits = limits) }
        harness.publish(rollout(revision = 2).copy(limits = limits))
        harness.eventually { loads().size >= 2 }
        harness.publish(configuration(harness.engines, revision = 3).copy(limits = limits))
        harness.eventually { unloads().size == 2 && harness.status(leaseHolder()).orders.unfinished.isEmpty() }
        expectThat(harness.engines.map { held(it) }).all { isEqualTo(listOf("1")) }
        expectThat(unloads().map { it.order.order }.toSet()).hasSize(loads().size)
        expectThat(harness.complete(0)).contains(expected)
    }

    /** Guards against a declared role that is never ordered. */
    @Test
    fun `an engine gets the role in its label`(): Unit = runBlocking {
        harness.start(count = 2) { ports ->
            val declared = configuration(ports, revision = 1)
            val first = declared.endpoints.first().let { it.copy(labels = it.labels + ("role" to "prefill")) }
            declared.copy(endpoints = listOf(first) + declared.endpoints.drop(1))
        }
        harness.eventually { "\"role\":\"prefill\"" in harness.get(harness.engines[0], "/v1/load") }
        expectThat(harness.get(harness.engines[1], "/v1/load")).contains("\"role\":\"serve\"")
    }

    private val expected = ModelText.answer("leaf", "user: weigh this", 8)

    private suspend fun answers(caller: Int, finished: AtomicBoolean): List<String> {
        val answers = mutableListOf<String>()
        while (!finished.get()) answers += harness.complete(caller % 2)
        return answers
    }

    private suspend fun leaseHolder(): Int {
        var holder = -1
        harness.eventually {
            holder = (0..1).firstOrNull { harness.status(it).orders.lease == OrderLeaseState.HELD } ?: -1
            holder >= 0
        }
        return holder
    }

    private suspend fun loaded(): Int = harness.status(leaseHolder()).rollouts.sumOf { it.loaded.size }

    private suspend fun loads(): List<OrderRun> = harness.allOrders().filter { it.order.wanted == target }

    private suspend fun unloads(): List<OrderRun> =
        harness.allOrders().filter { it.order.wanted is DesiredState.Unloaded }

    private suspend fun held(engine: Int): List<String> =
        WireJson.decodeFromString(EngineLoad.serializer(), harness.get(engine, "/v1/load")).versions
            .map { it.version.value }

    private suspend fun expectOneLoadEachAndAtMostTwoAtOnce() {
        val loads = loads()
        val atOnce = loads.maxOf { one ->
            loads.count { it.arrivedAtMillis <= one.arrivedAtMillis && one.arrivedAtMillis < it.loadedAtMillis }
        }
        expectThat(loads).hasSize(harness.engines.size)
        expectThat(harness.engines.indices.map { engine -> harness.orders(engine).count { it.order.wanted == target } })
            .all { isEqualTo(1) }
        expectThat(atOnce).isLessThanOrEqualTo(2)
    }

    private fun senders(orders: List<OrderRun>): Set<String> = orders.map { sender(it) }.toSet()

    private fun sender(run: OrderRun): String = Regex("gateway-\\d").find(run.order.order)?.value.orEmpty()

    private fun rollout(revision: Long, fencing: String = "checked"): Configuration {
        val declared = RolloutDeclaration("leaf-2", ModelId("leaf"), WeightVersion("2"))
        return configuration(harness.engines, revision, fencing = fencing).copy(rollouts = listOf(declared))
    }

    private fun configuration(
        engines: List<Int>,
        revision: Long,
        version: String = "1",
        fencing: String = "checked",
    ): Configuration {
        val base = GatewayHarness.configuration(engines)
        return base.copy(
            revision = revision,
            endpoints = base.endpoints.map { it.copy(labels = mapOf("fencing" to fencing)) },
            models = listOf(ModelDeclaration(ModelId("leaf"), WeightVersion(version))),
            services = emptyList(),
        )
    }

    private companion object {
        const val ENGINES = 8
        const val CALLERS = 4
        const val SETTLE_MILLIS = 1_000L

        // Requests and orders sent just before may still arrive within this time.
        const val IN_FLIGHT_MILLIS = 300L
        const val DELIVERY_MILLIS = 2_000L
    }
}
