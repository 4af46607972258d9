package org.parsleymoor.relay.placement

import org.junit.jupiter.api.Test
import org.parsleymoor.relay.TOPOLOGY
import org.parsleymoor.relay.cache.ContextKey
import org.parsleymoor.relay.engines
import org.parsleymoor.relay.fleet.EndpointState
import org.parsleymoor.relay.fleet.EngineLoad
import org.parsleymoor.relay.fleet.SentPrompt
import org.parsleymoor.relay.placementQuery
import org.parsleymoor.relay.prompt
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import kotlin.random.Random

/**
 * Sends more long prompts than the engines can prefill, then fewer again, as when some engines are down for a while.
 * Each caller retries once after a refusal.
 */
class OverloadTest {
    private val table = engines(ENGINES)
    private val placement = EnginePlacement(TOPOLOGY, random = Random(7))
    private val simulated = table.all.map { SimulatedEngine(it) }
    private val answers = ArrayList<Answer>()

    // Engines that accept every request under overload answer all of them late.
    @Test
    fun `under overload half of what the engines can prefill is answered in time`() {
        simulate()
        val inTime = answers.count { it.arrivedMillis < OVERLOAD_END_MILLIS && it.waitMillis <= OBJECTIVE_MILLIS }
        expectThat(inTime).isGreaterThan(capacity(OVERLOAD_END_MILLIS) / 2)
    }

    // If callers were served whatever their wait, queued requests would keep the engines late after the overload.
    @Test
    fun `three seconds after the overload ends requests are answered in time again`() {
        simulate()
        val after = answers.filter { it.arrivedMillis > OVERLOAD_END_MILLIS + RECOVERY_MILLIS }
        expectThat(after.size).isGreaterThan(0)
        expectThat(after.count { it.waitMillis <= OBJECTIVE_MILLIS } * PERCENT / after.size).isGreaterThan(MIN_PERCENT)
    }

    private fun capacity(millis: Long): Int = (ENGINES * millis * SimulatedEngine.TOKENS_PER_MILLI / TOKENS).toInt()

    private fun simulate() {
        val retries = ArrayList<Caller>()
        var number = 0
        var due = 0.0
        for (now in 0L until END_MILLIS step STEP_MILLIS) {
            val load = if (now < OVERLOAD_END_MILLIS) OVERLOAD_LOAD else NORMAL_LOAD
            due += load * capacity(STEP_MILLIS * STEPS) / STEPS
            while (due >= 1) {
                due--
                send(Caller(number++, arrivedMillis = now), now, retries)
            }
            retries.filter { it.retryMillis <= now }.also { retries -= it.toSet() }
                .forEach { send(it, now, retries) }
            simulated.forEach { it.advance(now, answers) }
        }
    }

    private fun send(caller: Caller, now: Long, retries: MutableList<Caller>) {
        val waited = now - caller.arrivedMillis
        val base = placementQuery(caller.isRetry).copy(remainingMillis = WAIT_MILLIS - waited)
        val prompt = prompt("context-${caller.number}")
        val query = EnginePlacementQuery(base, prompt, targetWeights = null, instances = 1, fetchMillis = { null })
        when (val result = placement.choose(query, table, now).result) {
            is PlacementResult.Selected -> simulated.first { it.state === result.endpoint }.take(caller, now)
            is PlacementResult.Unavailable -> if (!caller.isRetry) {
                retries += caller.copy(isRetry = true, retryMillis = now + result.retryAfterMillis)
            }
        }
    }

    private data class Caller(
        val number: Int,
        val arrivedMillis: Long,
        val isRetry: Boolean = false,
        val retryMillis: Long = 0,
    )

    private data class Answer(val arrivedMillis: Long, val waitMillis: Long)

    /** Prefills one prompt at a time while it has memory, and keeps each in memory until its request ends. */
    private class SimulatedEngine(val state: EndpointState) {
        private val waiting = ArrayDeque<Caller>()
        private val running = ArrayList<Long>()
        private var prefilling: Caller? = null
        private var prefillEndMillis = 0L
        private var reportedMillis = 0L

        fun take(caller: Caller, now: Long) {
            state.requestStarted(TOKENS)
            state.recordSentPrompt(SentPrompt(now, TOKENS, TOKENS, ContextKey.of("space", "${caller.number}")))
            waiting += caller
        }

        fun advance(now: Long, answers: MutableList<Answer>) {
            running.removeAll { it <= now }
            prefilling?.takeIf { prefillEndMillis <= now }?.let { caller ->
                answers += Answer(caller.arrivedMillis, now - caller.arrivedMillis)
                state.prefillEnded(TOKENS)
                state.requestEnded()
                running += now + RUN_MILLIS
                prefilling = null
            }
            if (prefilling == null && memoryUsed() + TOKENS <= MEMORY) {
                prefilling = waiting.removeFirstOrNull()
                prefillEndMillis = now + (TOKENS / TOKENS_PER_MILLI).toLong()
            }
            if (now - reportedMillis >= REPORT_MILLIS) report(now)
        }

        private fun memoryUsed(): Long = (running.size + if (prefilling == null) 0 else 1) * TOKENS

        private fun report(now: Long) {
            reportedMillis = now
            val prefillCount = if (prefilling == null) 0 else 1
            state.learnLoad(
                EngineLoad(running.size + prefillCount, waiting.size, prefillCount, memoryUsed(), MEMORY, now),
            )
        }

        companion object {
            const val TOKENS_PER_MILLI = 50.0
            const val RUN_MILLIS = 1_000L
            const val MEMORY = 100_000L
            const val REPORT_MILLIS = 230L
        }
    }

    private companion object {
        const val ENGINES = 8
        const val TOKENS = 11_500L
        const val OBJECTIVE_MILLIS = 1_000L
        const val WAIT_MILLIS = 15_000L
        const val STEP_MILLIS = 10L
        const val STEPS = 100
        const val OVERLOAD_END_MILLIS = 20_000L
        const val RECOVERY_MILLIS = 3_000L
        const val END_MILLIS = 30_000L

        // Three of eight engines are down while the load is three quarters of what all eight can prefill.
        const val OVERLOAD_LOAD = 1.2
        const val NORMAL_LOAD = 0.75
        const val PERCENT = 100
        const val MIN_PERCENT = 95
    }
}
