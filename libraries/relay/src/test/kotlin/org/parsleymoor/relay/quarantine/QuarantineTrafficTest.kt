package org.parsleymoor.relay.quarantine

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import org.parsleymoor.core.EndpointId
import org.parsleymoor.relay.cache.EngineIncarnation
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import java.util.PriorityQueue
import kotlin.random.Random

/** Plays minutes of prompts, with endpoints that crash, against the decisions alone. */
class QuarantineTrafficTest {
    // Harmless prompts would be refused because endpoints crash for reasons of their own.
    @ParameterizedTest
    @ValueSource(booleans = [true, false])
    fun `no harmless prompt is refused while endpoints crash, alone or three at a time`(earlyHeads: Boolean) {
        repeat(SEEDS) { seed ->
            val traffic = Traffic(Random(seed), earlyHeads, deadlyShare = 0.0)
            traffic.scheduleCrashes(everyMillis = 1_500, atOnce = if (seed % 2 == 0) 1 else 3)
            traffic.play(PLAYED_MILLIS)
            expectThat(traffic.crashes).isGreaterThan(20)
            expectThat(traffic.harmlessRefused).describedAs("refused with seed $seed").isEqualTo(0)
        }
    }

    // Each further prompt with the part would end one more endpoint.
    @ParameterizedTest
    @ValueSource(doubles = [0.01, 0.05, 0.3])
    fun `at most three prompts with a deadly part are sent later than four seconds after the fifth crash`(
        deadlyShare: Double,
    ) {
        repeat(SEEDS) { seed ->
            val traffic = Traffic(Random(seed), earlyHeads = false, deadlyShare = deadlyShare)
            traffic.scheduleCrashes(everyMillis = 10_000, atOnce = 1)
            traffic.play(PLAYED_MILLIS)
            val boundMillis = traffic.deadlyCrashMillis.getOrNull(4)?.plus(4_000) ?: Long.MAX_VALUE
            val late = traffic.deadlySentMillis.count { it > boundMillis }
            expectThat(late).describedAs("sent late with seed $seed").isLessThanOrEqualTo(3)
            expectThat(traffic.harmlessRefused).describedAs("refused with seed $seed").isEqualTo(0)
        }
    }

    /**
     * 20 prompts a second with two shared parts each, at eight endpoints. With [earlyHeads], endpoints send the head of
     * a response before they read the prompt, so that every prompt in flight may be the cause of a crash.
     */
    private class Traffic(
        private val random: Random,
        private val earlyHeads: Boolean,
        private val deadlyShare: Double,
    ) {
        private val quarantine = RequestQuarantine()
        private val events = PriorityQueue<Event>(compareBy { it.atMillis })
        private val endpoints = Array(ENDPOINTS) { Endpoint(0) }
        private var nowMillis = 0L
        var harmlessRefused = 0
        var crashes = 0
        val deadlyCrashMillis = ArrayList<Long>()
        val deadlySentMillis = ArrayList<Long>()

        fun scheduleCrashes(everyMillis: Long, atOnce: Int) {
            for (atMillis in everyMillis until PLAYED_MILLIS step everyMillis) {
                at(atMillis) { endpoints.indices.shuffled(random).take(atOnce).forEach { crash(it) } }
            }
        }

        fun play(millis: Long) {
            var arrivalMillis = 0L
            while (arrivalMillis < millis) {
                at(arrivalMillis) { arrive() }
                arrivalMillis += 1 + random.nextLong(2 * MEAN_GAP_MILLIS)
            }
            while (events.isNotEmpty()) {
                val event = events.remove()
                nowMillis = event.atMillis
                event.run()
            }
        }

        private fun arrive() {
            val deadly = random.nextDouble() < deadlyShare
            val second = if (deadly) DEADLY else (random.nextDouble() * random.nextDouble() * CONTEXTS).toLong()
            val parts = setOf(ContentKey(-1 - random.nextLong(FIRST_PARTS)), ContentKey(second))
            quarantine.assess(parts, nowMillis)
            if (quarantine.decide(parts, nowMillis) { true } is QuarantineDecision.Refused) {
                if (!deadly) harmlessRefused++
                return
            }
            val number = endpoints.indices.filter { endpoints[it].upMillis <= nowMillis }.randomOrNull(random) ?: return
            if (deadly) deadlySentMillis += nowMillis
            val prompt = InFlight(parts, nowMillis)
            val endpoint = endpoints[number]
            endpoint.inFlight += prompt
            at(nowMillis + FIRST_EVENT_MILLIS + random.nextLong(FIRST_EVENT_MILLIS)) {
                if (prompt in endpoint.inFlight) begin(number, prompt, deadly)
            }
        }

        private fun begin(number: Int, prompt: InFlight, deadly: Boolean) {
            prompt.responding = true
            if (deadly) {
                deadlyCrashMillis += nowMillis
                crash(number)
            } else {
                endpoints[number].inFlight -= prompt
                quarantine.recordAnswer(prompt.parts, nowMillis)
            }
        }

        private fun crash(number: Int) {
            crashes++
            val incarnation = EngineIncarnation(EndpointId("e$number"), endpoints[number].upMillis)
            endpoints[number].inFlight.forEach {
                val prompt = UnansweredRequest(it.parts, it.sentMillis, it.responding || earlyHeads)
                quarantine.recordCrash(EndpointCrash(incarnation, nowMillis, prompt))
            }
            endpoints[number] = Endpoint(nowMillis + DOWN_MILLIS)
        }

        private fun at(atMillis: Long, run: () -> Unit) {
            events += Event(atMillis, run)
        }
    }

    private class Event(val atMillis: Long, val run: () -> Unit)

    private class Endpoint(val upMillis: Long) {
        val inFlight = LinkedHashSet<InFlight>()
    }

    private class InFlight(val parts: Set<ContentKey>, val sentMillis: Long) {
        var responding = false
    }

    private companion object {
        const val SEEDS = 40
        const val PLAYED_MILLIS = 60_000L
        const val ENDPOINTS = 8
        const val MEAN_GAP_MILLIS = 50L
        const val FIRST_EVENT_MILLIS = 300L
        const val DOWN_MILLIS = 3_000L
        const val FIRST_PARTS = 5L
        const val CONTEXTS = 60
        const val DEADLY = 1_000L
    }
}
