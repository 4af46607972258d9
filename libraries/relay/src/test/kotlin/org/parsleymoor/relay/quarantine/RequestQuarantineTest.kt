package org.parsleymoor.relay.quarantine

import org.junit.jupiter.api.Test
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.InstanceId
import org.parsleymoor.relay.cache.EngineIncarnation
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull

/** The decisions about what endpoints crash on, without network and with a clock that the test sets. */
class RequestQuarantineTest {
    private val quarantine = RequestQuarantine()
    private var endpoints = 0

    @Test
    fun `prompts with a part on which three endpoints crashed are refused with the time until the next probe`() {
        crashThreeTimes("bad")
        expectThat(decide(4_000, "bad")).isEqualTo(QuarantineDecision.Refused(key("bad"), retryAfterMillis = 29_000))
    }

    @Test
    fun `two crashes are not enough`() {
        crash(1_000, "bad")
        crash(2_000, "bad")
        expectThat(decide(2_500, "bad")).isEqualTo(QuarantineDecision.Allowed)
    }

    // Harmless prompts share their other parts with prompts that crash endpoints, and would be refused with them.
    @Test
    fun `a part that was answered in between is not quarantined with the part beside it`() {
        crash(1_000, "shared", "bad")
        answer(1_500, "shared")
        crash(2_000, "shared", "bad")
        crash(3_000, "shared", "bad")
        answer(3_100, "shared")
        expectThat(decide(3_200, "shared", "bad")).isA<QuarantineDecision.Refused>()
        expectThat(decide(3_200, "shared", "other")).isEqualTo(QuarantineDecision.Allowed)
        expectThat(decide(3_200, "bad", "other")).isA<QuarantineDecision.Refused>()
    }

    // Which of two parts that always come together crashes endpoints is not known until one comes alone.
    @Test
    fun `of two parts that always came together, a prompt with one of them is let through and decides about both`() {
        repeat(3) { crash(1_000L * (it + 1), "one", "two") }
        expectThat(decide(3_500, "one", "two")).isA<QuarantineDecision.Refused>()
        expectThat(decide(3_500, "one")).isEqualTo(QuarantineDecision.Allowed)
        answer(3_600, "one")
        expectThat(decide(3_700, "one", "three")).isEqualTo(QuarantineDecision.Allowed)
        expectThat(decide(3_700, "two", "three")).isA<QuarantineDecision.Refused>()
    }

    // An availability zone that is lost ends many endpoints at once, and a common part was waiting at each of them.
    @Test
    fun `endpoints that crash at the same time with a harmless part in common do not quarantine it`() {
        repeat(8) { crash(1_000L + it, "common", sentMillis = 500) }
        expectThat(decide(2_000, "common")).isEqualTo(QuarantineDecision.Allowed)
        repeat(8) { crash(2_500L + it, "common", sentMillis = 2_100) }
        expectThat(decide(3_000, "common")).isEqualTo(QuarantineDecision.Allowed)
        answer(3_100, "common")
        repeat(8) { crash(4_000L + it, "common", sentMillis = 3_500) }
        expectThat(decide(5_000, "common")).isEqualTo(QuarantineDecision.Allowed)
    }

    // Prompts with the part are placed at several endpoints before the first of them crashes.
    @Test
    fun `prompts that were sent together and crash endpoints one after the other are enough`() {
        repeat(3) { crash(1_000L + it * 300, "bad", sentMillis = 900) }
        expectThat(decide(1_700, "bad")).isA<QuarantineDecision.Refused>()
    }

    // An endpoint that breaks off part of its responses would quarantine the parts that are placed there.
    @Test
    fun `several broken responses of one start of an endpoint count as one crash`() {
        val grey = EngineIncarnation(EndpointId("grey"), 1)
        repeat(10) { crash(1_000L * it, "part", endpoint = grey) }
        expectThat(decide(11_000, "part")).isEqualTo(QuarantineDecision.Allowed)
        repeat(2) { crash(11_000L + it * 1_000, "part", endpoint = grey.copy(startMillis = 2L + it)) }
        expectThat(decide(13_000, "part")).isA<QuarantineDecision.Refused>()
    }

    // Prompts that waited at the endpoints would be suspected along with the one that crashed them.
    @Test
    fun `prompts that waited are not suspected of a crash during a response that had begun`() {
        repeat(3) { number ->
            val endpoint = EngineIncarnation(EndpointId("e$number"), 1)
            crash(
                1_000L * number,
                "waiting",
                responding = false,
                endpoint = endpoint,
                sentMillis = 1_000L * number - 50
            )
            crash(1_000L * number + 5, "bad", endpoint = endpoint, sentMillis = 1_000L * number - 50)
        }
        expectThat(decide(9_000, "waiting")).isEqualTo(QuarantineDecision.Allowed)
        expectThat(decide(9_000, "bad")).isA<QuarantineDecision.Refused>()
    }

    @Test
    fun `prompts that waited are suspected when no peer reports a response that had begun`() {
        repeat(3) { crash(1_000L * it, "bad", responding = false) }
        expectThat(decide(2_010, "bad")).isEqualTo(QuarantineDecision.Allowed)
        expectThat(decide(2_400, "bad")).isA<QuarantineDecision.Refused>()
    }

    // A part that was quarantined by mistake, or is harmless with new weights, would be refused for ever.
    @Test
    fun `one prompt probes the part after a pause, and its answer releases the part`() {
        crashThreeTimes("bad")
        expectThat(decide(33_000, "bad", probes = false)).isA<QuarantineDecision.Refused>()
        expectThat(decide(33_000, "bad")).isEqualTo(QuarantineDecision.Probe(key("bad")))
        expectThat(decide(33_100, "bad")).isEqualTo(QuarantineDecision.Refused(key("bad"), retryAfterMillis = 5_000))
        answer(33_500, "bad")
        expectThat(decide(33_600, "bad")).isEqualTo(QuarantineDecision.Allowed)
    }

    // Each failed probe costs an endpoint.
    @Test
    fun `no more than three endpoints crash on probes in ten minutes`() {
        crashThreeTimes("bad")
        var probes = 0
        for (nowMillis in 4_000L..603_000L step 100) {
            if (decide(nowMillis, "bad") is QuarantineDecision.Probe) {
                probes++
                crash(nowMillis + 50, "bad", sentMillis = nowMillis)
            }
        }
        expectThat(probes).isLessThanOrEqualTo(3).isGreaterThan(1)
    }

    // What comes back after a pause would end three endpoints again.
    @Test
    fun `a part without prompts is forgotten after a day`() {
        crashThreeTimes("bad")
        quarantine.expire(DAY_MILLIS + 2_999)
        expectThat(quarantine.contents).hasSize(1)
        quarantine.expire(DAY_MILLIS + 3_000)
        expectThat(quarantine.contents).isEmpty()
    }

    // An instance that starts or was cut off has seen none of the crashes.
    @Test
    fun `an instance refuses a part that a peer has quarantined`() {
        crashThreeTimes("shared", "bad")
        val other = RequestQuarantine()
        quarantine.contents.forEach { expectThat(other.recordQuarantine(it, 4_000)).isNull() }
        expectThat(other.decide(keys("shared", "bad"), 4_000) { true }).isA<QuarantineDecision.Refused>()
        expectThat(other.recordAnswer(keys("shared"), 4_100)).containsExactly(key("shared"))
        expectThat(other.decide(keys("shared"), 4_200) { true }).isEqualTo(QuarantineDecision.Allowed)
    }

    // Two instances would otherwise quarantine a released part again for each other.
    @Test
    fun `a released part stays released when a peer that missed the answer reports it`() {
        crashThreeTimes("bad")
        val stale = quarantine.contents.single()
        answer(33_500, "bad")
        expectThat(quarantine.recordQuarantine(stale, 34_000)).isEqualTo(33_500L)
        expectThat(decide(34_000, "bad")).isEqualTo(QuarantineDecision.Allowed)
    }

    // Crashes with ever new prompts must not fill the memory.
    @Test
    fun `what is remembered of prompts that are all different is bounded and dropped again`() {
        repeat(10_000) { crash(it * 10L, "part-$it") }
        expectThat(quarantine.suspectCount).isLessThanOrEqualTo(64)
        quarantine.expire(10_000 * 10L + 600_000L)
        expectThat(quarantine.suspectCount).isEqualTo(0)
    }

    @Test
    fun `members take turns to probe, in the same order at every instance`() {
        crashThreeTimes("bad")
        val entry = quarantine.contents.single()
        val members = (1..5).map { InstanceId("i$it") }
        expectThat(entry.prober(members, 32_999)).isNull()
        val turns = (0..4).map { entry.prober(members, 33_000 + it * PROBE_MILLIS) }
        expectThat(turns.toSet()).hasSize(5)
        expectThat(entry.prober(members.reversed(), 33_000)).isNotNull().isEqualTo(turns.first())
    }

    // The users' rules count requests that are sent after the third crash without end.
    @Test
    fun `a request that comes every second ends no more than two endpoints as a probe in a day`() {
        repeat(3) { crashRequests(1_000L * (it + 1), "bad") }
        var probes = 0
        for (nowMillis in 4_000L until DAY_MILLIS step 1_000) {
            quarantine.expire(nowMillis)
            if (decide(nowMillis, "bad") is QuarantineDecision.Probe) {
                probes++
                crashRequests(nowMillis + 50, "bad", sentMillis = nowMillis)
            }
        }
        expectThat(probes).isEqualTo(2)
    }

    // Otherwise a request would be refused although what crashed on it has been mended.
    @Test
    fun `a request that failed its probes is probed once more when all endpoints run another release`() {
        repeat(3) { crashRequests(1_000L * (it + 1), "bad") }
        listOf(100_000L, 300_000L).forEach { nowMillis ->
            expectThat(decide(nowMillis, "bad", release = "v1")).isA<QuarantineDecision.Probe>()
            crashRequests(nowMillis + 50, "bad", sentMillis = nowMillis)
        }
        expectThat(decide(900_000, "bad", release = "v1")).isA<QuarantineDecision.Refused>()
        expectThat(decide(900_000, "bad", release = null)).isA<QuarantineDecision.Refused>()
        expectThat(decide(900_000, "bad", release = "v2")).isA<QuarantineDecision.Probe>()
        crashRequests(900_050, "bad", sentMillis = 900_000, release = "v2")
        expectThat(decide(2_000_000, "bad", release = "v3")).isA<QuarantineDecision.Refused>()
    }

    // Requests that are harmless are unanswered at each of the crashes as well if they come often.
    @Test
    fun `a popular request beside one that crashes endpoints is refused only until it is probed and answered`() {
        repeat(3) { crashRequests(1_000L * (it + 1), "popular", "bad") }
        expectThat(decide(3_100, "popular")).isA<QuarantineDecision.Refused>()
        expectThat(decide(4_500, "popular")).isEqualTo(QuarantineDecision.Probe(key("popular")))
        answer(4_520, "popular")
        expectThat(decide(4_530, "popular")).isEqualTo(QuarantineDecision.Allowed)
        expectThat(decide(3_100, "bad")).isA<QuarantineDecision.Refused>()
    }

    @Test
    fun `a probe that finds no endpoint is sent by the next request`() {
        repeat(3) { crashRequests(1_000L * (it + 1), "popular", "bad") }
        expectThat(decide(4_500, "popular")).isA<QuarantineDecision.Probe>()
        expectThat(decide(4_510, "popular")).isA<QuarantineDecision.Refused>()
        quarantine.withdrawProbe(keys("popular"))
        expectThat(decide(4_520, "popular")).isA<QuarantineDecision.Probe>()
    }

    // Endpoints of a busy service have more requests at work than a crash used to keep.
    @Test
    fun `a request is found among a thousand that were unanswered at each crash`() {
        repeat(3) { number ->
            val others = (0 until 1_000).map { "other-$number-$it" }
            crashRequests(1_000L * (number + 1), *others.toTypedArray(), "bad")
        }
        expectThat(decide(3_100, "bad")).isA<QuarantineDecision.Refused>()
        expectThat(decide(3_100, "other-0-0")).isEqualTo(QuarantineDecision.Allowed)
    }

    // A caller could fill the tables with requests that are all different, and so release one that is quarantined.
    @Test
    fun `what is remembered of requests is bounded, and a quarantined one stays quarantined`() {
        repeat(3) { crashRequests(1_000L * (it + 1), "bad") }
        expectThat(decide(3_100, "bad")).isA<QuarantineDecision.Refused>()
        repeat(300) { number ->
            crashRequests(4_000L + number, *(0 until 300).map { "other-$number-$it" }.toTypedArray())
        }
        expectThat(quarantine.suspectCount).isLessThanOrEqualTo(8_192)
        expectThat(decide(5_000, "bad")).isA<QuarantineDecision.Refused>()
    }

    // Sound requests that are all alike are answered all the time.
    @Test
    fun `a request that is answered between crashes is not quarantined`() {
        repeat(6) {
            crashRequests(1_000L * (it + 1), "popular")
            answer(1_000L * (it + 1) + 300, "popular")
        }
        expectThat(decide(7_000, "popular")).isEqualTo(QuarantineDecision.Allowed)
    }

    // The parts of a prompt that comes again may be harmless in other prompts.
    @Test
    fun `a prompt that crashes three endpoints is quarantined, its parts only when another crashes a fourth`() {
        repeat(3) { crashPrompt(1_000L * (it + 1), "request", "one", "two") }
        expectThat(decide(3_500, "request", "one", "two")).isA<QuarantineDecision.Refused>()
        expectThat(decide(3_500, "other", "one", "two")).isEqualTo(QuarantineDecision.Allowed)
        crashPrompt(3_600, "other", "one", "three")
        expectThat(decide(3_700, "third", "one", "four")).isA<QuarantineDecision.Refused>()
        expectThat(decide(3_700, "third", "two", "four")).isEqualTo(QuarantineDecision.Allowed)
    }

    // A request with several parts would have to wait for a turn in each of them.
    @Test
    fun `one turn is enough to probe a prompt with several quarantined parts`() {
        crashThreeTimes("one", "two", "three")
        val asked = ArrayList<ContentKey>()
        val decision = quarantine.decide(keys("one", "two", "three"), 33_000) { asked.add(it.key) }
        expectThat(decision).isA<QuarantineDecision.Probe>()
        expectThat(asked).hasSize(1)
    }

    private fun crashThreeTimes(vararg parts: String) {
        repeat(3) { crash(1_000L * (it + 1), *parts) }
        quarantine.assess(keys(*parts), 3_000)
    }

    private fun crash(
        atMillis: Long,
        vararg parts: String,
        sentMillis: Long = atMillis - 10,
        responding: Boolean = true,
        endpoint: EngineIncarnation = EngineIncarnation(EndpointId("e${endpoints++}"), 1),
    ) {
        quarantine.recordCrash(
            EndpointCrash(endpoint, atMillis, UnansweredRequest(keys(*parts), sentMillis, responding))
        )
    }

    /** An endpoint crashes while [requests] without prompt are unanswered. */
    private fun crashRequests(
        atMillis: Long,
        vararg requests: String,
        sentMillis: Long = atMillis - 10,
        release: String? = "v1"
    ) {
        val endpoint = EngineIncarnation(EndpointId("e${endpoints++}"), 1)
        requests.forEach { request ->
            val unanswered = UnansweredRequest(emptySet(), sentMillis, responding = false, request = key(request))
            quarantine.recordCrash(EndpointCrash(endpoint, atMillis, unanswered, release))
        }
    }

    /** An endpoint crashes when it begins to answer the prompt [request] with [parts]. */
    private fun crashPrompt(atMillis: Long, request: String, vararg parts: String) {
        val unanswered = UnansweredRequest(keys(*parts), atMillis - 10, responding = true, request = key(request))
        quarantine.recordCrash(EndpointCrash(EngineIncarnation(EndpointId("e${endpoints++}"), 1), atMillis, unanswered))
    }

    private fun answer(atMillis: Long, vararg parts: String) {
        quarantine.recordAnswer(keys(*parts), atMillis)
    }

    private fun decide(
        nowMillis: Long,
        vararg parts: String,
        probes: Boolean = true,
        release: String? = null,
    ): QuarantineDecision {
        quarantine.assess(keys(*parts), nowMillis)
        return quarantine.decide(keys(*parts), nowMillis, release) { probes }
    }

    private fun key(part: String) = ContentKey(part.hashCode().toLong())

    private fun keys(vararg parts: String) = parts.map(::key).toSet()

    private companion object {
        const val DAY_MILLIS = 86_400_000L
    }
}
