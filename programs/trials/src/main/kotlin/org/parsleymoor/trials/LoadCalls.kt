package org.parsleymoor.trials

import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.apache.commons.rng.simple.RandomSource
import org.parsleymoor.clients.EngineEvent
import org.parsleymoor.clients.GenerateRequest
import org.parsleymoor.clients.WireJson
import org.parsleymoor.core.AttemptId
import org.parsleymoor.core.ModelId
import org.parsleymoor.core.OrganisationId
import org.parsleymoor.core.RequestId
import org.parsleymoor.core.WeightVersion
import org.parsleymoor.standins.ModelText
import java.util.concurrent.atomic.AtomicLong

/** The path that a measured call takes. */
internal enum class LoadPath { DIRECT, GATEWAY }

/** Completions with contexts drawn from [seed], sent to the engine itself or through the gateway, and verified. */
internal class LoadCalls(private val pair: LoadPair, seed: Long) {
    private val web = Web()
    private val numbers = AtomicLong()
    private val contexts = RandomSource.XO_RO_SHI_RO_128_PP.create(seed).let { random ->
        List(CONTEXTS) { "context ${random.nextLong()} ".repeat(CONTEXT_REPEATS) }
    }
    private val headers = Deployment.headersOf(ORGANISATION)

    /** Sends one call and returns whether the whole right answer came; throws [java.io.IOException] when it breaks. */
    fun send(path: LoadPath): Boolean {
        val number = numbers.incrementAndGet()
        val prompt = "${contexts[(number % CONTEXTS).toInt()]} question $number"
        val text = when (path) {
            LoadPath.DIRECT -> direct(prompt, number)
            LoadPath.GATEWAY -> throughGateway(prompt)
        }
        return text == ModelText.answer(MODEL, prompt, TOKENS)
    }

    private fun direct(prompt: String, number: Long): String? {
        val request = GenerateRequest(
            request = RequestId("direct-$number"),
            attempt = AttemptId("direct-$number"),
            organisation = OrganisationId(ORGANISATION),
            model = ModelId(MODEL),
            version = WeightVersion("1"),
            prompt = prompt,
            maximumTokens = TOKENS,
        )
        val body = WireJson.encodeToString(GenerateRequest.serializer(), request)
        val answer = web.post("${pair.engine}/v1/generate", body)
        if (answer.status != OK) return null
        val events = answer.body.lines().filter { it.isNotEmpty() }
            .map { WireJson.decodeFromString(EngineEvent.serializer(), it) }
        val text = events.filterIsInstance<EngineEvent.Token>().joinToString("") { it.text }
        return text.takeIf { events.lastOrNull() is EngineEvent.Final }
    }

    private fun throughGateway(prompt: String): String? {
        val body = buildJsonObject {
            put("model", MODEL)
            put("prompt", prompt)
            put("max_tokens", TOKENS)
        }
        val answer = web.post("${pair.callers}/v1/completions", body.toString(), headers)
        return if (answer.status == OK) answer.wholeText() else null
    }

    companion object {
        /** Tokens of each answer. */
        const val TOKENS = 16
        private const val CONTEXTS = 8

        // About 8 kB, one piece of context.
        private const val CONTEXT_REPEATS = 300
        private const val ORGANISATION = "estate-1"
        private const val OK = 200
        private val MODEL = Deployment.modelOf(ORGANISATION)
    }
}
