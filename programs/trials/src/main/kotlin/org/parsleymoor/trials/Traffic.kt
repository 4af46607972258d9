package org.parsleymoor.trials

import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.put
import org.apache.commons.rng.UniformRandomProvider
import org.apache.commons.rng.simple.RandomSource
import org.parsleymoor.clients.WireJson
import org.parsleymoor.standins.ModelText
import java.io.IOException
import java.util.concurrent.Executors

/** Verified traffic of both deployments, drawn from [seed]: returning contexts, and service calls of three kinds. */
internal class Traffic(private val gateways: List<GatewayPlace>, private val seed: Long) {
    private val web = Web()

    /** Sends [requests] calls over [spreadMillis] and returns what each caller was told. */
    suspend fun run(requests: Int, spreadMillis: Long): List<Outcome> = coroutineScope {
        val random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed)
        (0 until requests).map { number ->
            val call = draw(number, random)
            async {
                delay(number * spreadMillis / requests)
                withContext(CALLERS) { call() }
            }
        }.awaitAll()
    }

    private fun draw(number: Int, random: UniformRandomProvider): () -> Outcome {
        val gateway = gateways[random.nextInt(gateways.size)]
        val organisation = Deployment.organisations[random.nextInt(Deployment.organisations.size)]
        val context = random.nextInt(CONTEXTS_PER_ORGANISATION)
        return when (random.nextInt(KINDS)) {
            0 -> { -> weigh(gateway, organisation, number, ticket = true) }
            1 -> { -> weigh(gateway, organisation, number, ticket = false) }
            else -> { -> complete(gateway, organisation, context, number) }
        }
    }

    private fun complete(gateway: GatewayPlace, organisation: String, context: Int, number: Int): Outcome {
        val prompt = contextText(organisation, context) + " question $seed $number"
        val model = Deployment.modelOf(organisation)
        val body = buildJsonObject {
            put("model", model)
            put("prompt", prompt)
            put("max_tokens", TOKENS)
            put("stream", true)
        }
        val expected = ModelText.answer(model, prompt, TOKENS)
        val digest = ModelText.promptDigest(prompt)
        return attempt(organisation, digest, "", repeatable = true) {
            val url = "${gateway.callers}/v1/completions"
            val answer = web.stream(url, body.toString(), headers(organisation))
            judge(answer) { streamedText(it.body) == expected && it.body.trimEnd().endsWith("[DONE]") }
        }
    }

    private fun weigh(gateway: GatewayPlace, organisation: String, number: Int, ticket: Boolean): Outcome {
        val path = "/weighings/$seed-$number"
        return attempt(organisation, "", path, repeatable = false) {
            val key = if (ticket) issue(gateway, organisation) else "own-$seed-$number"
            val url = "${gateway.callers}/services/${Deployment.SERVICE}$path"
            val other = gateways[(gateways.indexOf(gateway) + 1) % gateways.size]
            val keyed = headers(organisation) + ("Idempotency-Key" to key)
            val first = web.post(url, WEIGHING, keyed)
            if (first.status == OK) {
                web.post("${other.callers}/services/${Deployment.SERVICE}$path", WEIGHING, keyed)
            }
            judge(first) { path in it.body }
        }
    }

    private fun issue(gateway: GatewayPlace, organisation: String): String {
        val answer = web.post("${gateway.callers}/tickets", "", headers(organisation))
        return (
            WireJson.parseToJsonElement(
                answer.body
            ) as? JsonObject
            )?.get("ticket")?.jsonPrimitive?.content.orEmpty()
    }

    private fun attempt(
        organisation: String,
        promptDigest: String,
        effect: String,
        repeatable: Boolean,
        call: () -> Judgement,
    ): Outcome {
        val judgement = try {
            call()
        } catch (cause: IOException) {
            Judgement(Told.BROKEN, 0, cause.toString())
        } catch (cause: SerializationException) {
            Judgement(Told.BROKEN, 0, cause.message.orEmpty())
        }
        val (told, firstTokenMillis, detail) = judgement
        return Outcome(organisation, promptDigest, effect, repeatable, told, firstTokenMillis, detail)
    }

    private fun judge(answer: WebAnswer, isRight: (WebAnswer) -> Boolean): Judgement {
        if (answer.status == OK) {
            val told = if (isRight(answer)) Told.ANSWERED else Told.WRONG
            val detail = if (told == Told.WRONG) answer.body.takeLast(SHOWN) else ""
            return Judgement(told, answer.firstTokenMillis, detail)
        }
        val problem = WireJson.decodeFromString(ToldProblem.serializer(), answer.body.trim())
        val told = if (problem.execution == "not_run") Told.NOT_RUN else Told.UNKNOWN
        return Judgement(told, 0, "${answer.status} ${problem.title}: ${problem.detail}")
    }

    private fun headers(organisation: String) = mapOf(
        "Authorization" to "Bearer ${Deployment.keyOf(organisation)}",
        "Content-Type" to "application/json",
    )

    private fun streamedText(body: String): String = body.lineSequence()
        .filter { it.startsWith("data: {") }
        .map { WireJson.parseToJsonElement(it.removePrefix("data: ")).jsonObject }
        .mapNotNull { it["choices"]?.jsonArray?.firstOrNull()?.jsonObject?.get("text")?.jsonPrimitive }
        .filter { it.isString }
        .joinToString("") { it.content }

    private fun contextText(organisation: String, context: Int): String {
        val pieces = 2 + context % MORE_PIECES
        return "$organisation brief $context ".repeat(pieces * PIECE_BYTES / "$organisation brief $context ".length)
    }

    private data class Judgement(val told: Told, val firstTokenMillis: Long, val detail: String)

    private companion object {
        const val CONTEXTS_PER_ORGANISATION = 10
        const val KINDS = 6
        const val TOKENS = 16
        const val PIECE_BYTES = 8_000
        const val MORE_PIECES = 4
        const val OK = 200
        const val SHOWN = 200
        const val WEIGHING = "{\"basket\":7,\"grams\":12400}"
        const val CALLER_THREADS = 64
        val CALLERS = Executors.newFixedThreadPool(CALLER_THREADS) { task ->
            Thread(task, "caller").apply { isDaemon = true }
        }.asCoroutineDispatcher()
    }
}
