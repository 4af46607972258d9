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
 * More long prompts than the engines can read, whose callers return once after a refusal, and then less again: the
 * load of a day on which some engines are down for a while.
 */
class OverloadTest {
    private val table = engines(ENGINES)
    private val placement = EnginePlacement(TOPOLOGY, random = Random(7))
    private val simulated = table.all.map { SimulatedEngine(it) }
    private val answers = ArrayList<Answer>()

    // Engines that are given all of it answer everything late.
    @Test
    fun `under overload half of what the engines can read is answered in time`() {
        play()
        val inTime = answers.count { it.arrivedMillis < OVERLOAD_END_MILLIS && it.waitMillis <= OBJECTIVE_MILLIS }
        expectThat(inTime).isGreaterThan(capacity(OVERLOAD_END_MILLIS) / 2)
    }

    // With callers that are served whatever their wait, late work keeps engines late after the overload.
    @Test
    fun `three seconds after the overload requests are answered in time again`() {
        play()
        val after = answers.filter { it.arrivedMillis > OVERLOAD_END_MILLIS + RECOVERY_MILLIS }
        expectThat(after.size).isGreaterThan(0)
        expectThat(after.count { it.waitMillis <= OBJECTIVE_MILLIS } * PERCENT / after.size).isGreaterThan(MOST_PERCENT)
    }

    private fun capacity(millis: Long): Int = (ENGINES * millis * SimulatedEngine.TOKENS_PER_MILLI / TOKENS).toInt()

    private fun play() {
        val returning = ArrayList<Caller>()
        var number = 0
        var due = 0.0
        for (now in 0L until END_MILLIS step STEP_MILLIS) {
            val load = if (now < OVERLOAD_END_MILLIS) OVERLOAD else CALM
            due += load * capacity(STEP_MILLIS * STEPS) / STEPS
            while (due >= 1) {
                due--
                ask(Caller(number++, arrivedMillis = now), now, returning)
            }
            returning.filter { it.backMillis <= now }.also { returning -= it.toSet() }
                .forEach { ask(it, now, returning) }
            simulated.forEach { it.advance(now, answers) }
        }
    }

    private fun ask(caller: Caller, now: Long, returning: MutableList<Caller>) {
        val waited = now - caller.arrivedMillis
        val request = placementQuery(caller.returned).copy(remainingMillis = WAIT_MILLIS - waited)
        val prompt = prompt("context-${caller.number}")
        val wanted = EnginePlacementQuery(request, prompt, targetWeights = null, instances = 1, fetchMillis = { null })
        when (val place = placement.choose(wanted, table, now).result) {
            is PlacementResult.Selected -> simulated.first { it.state === place.endpoint }.take(caller, now)
            is PlacementResult.Unavailable -> if (!caller.returned) {
                returning += caller.copy(returned = true, backMillis = now + place.retryAfterMillis)
            }
        }
    }

    private data class Caller(
        val number: Int,
        val arrivedMillis: Long,
        val returned: Boolean = false,
        val backMillis: Long = 0,
    )

    private data class Answer(val arrivedMillis: Long, val waitMillis: Long)

    /** Reads one prompt after the other while there is memory, and keeps each in memory until its run has ended. */
    private class SimulatedEngine(val state: EndpointState) {
        private val waiting = ArrayDeque<Caller>()
        private val running = ArrayList<Long>()
        private var reading: Caller? = null
        private var readMillis = 0L
        private var reportedMillis = 0L

        fun take(caller: Caller, now: Long) {
            state.requestStarted(TOKENS)
            state.recordSentPrompt(SentPrompt(now, TOKENS, TOKENS, ContextKey.of("space", "${caller.number}")))
            waiting += caller
        }

        fun advance(now: Long, answers: MutableList<Answer>) {
            running.removeAll { it <= now }
            reading?.takeIf { readMillis <= now }?.let { read ->
                answers += Answer(read.arrivedMillis, now - read.arrivedMillis)
                state.prefillEnded(TOKENS)
                state.requestEnded()
                running += now + RUN_MILLIS
                reading = null
            }
            if (reading == null && memoryUsed() + TOKENS <= MEMORY) {
                reading = waiting.removeFirstOrNull()
                readMillis = now + (TOKENS / TOKENS_PER_MILLI).toLong()
            }
            if (now - reportedMillis >= REPORT_MILLIS) report(now)
        }

        private fun memoryUsed(): Long = (running.size + if (reading == null) 0 else 1) * TOKENS

        private fun report(now: Long) {
            reportedMillis = now
            val inReading = if (reading == null) 0 else 1
            state.learnLoad(
                EngineLoad(running.size + inReading, waiting.size, inReading, memoryUsed(), MEMORY, now),
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

        // Three of eight engines down at three quarters of their load.
        const val OVERLOAD = 1.2
        const val CALM = 0.75
        const val PERCENT = 100
        const val MOST_PERCENT = 95
    }
}
