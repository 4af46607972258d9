package org.parsleymoor.trials

import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.apache.commons.rng.UniformRandomProvider
import org.apache.commons.rng.simple.RandomSource
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
        val prompt = Deployment.contextText(organisation, context) + " question $seed $number"
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
            val answer = web.stream(url, body.toString(), Deployment.headersOf(organisation))
            verdict(answer) { it.streamedText() == expected }
        }
    }

    private fun weigh(gateway: GatewayPlace, organisation: String, number: Int, ticket: Boolean): Outcome {
        val path = "/weighings/$seed-$number"
        return attempt(organisation, "", path, repeatable = false) {
            val key = if (ticket) issue(gateway, organisation) else "own-$seed-$number"
            val url = "${gateway.callers}/services/${Deployment.SERVICE}$path"
            val other = gateways[(gateways.indexOf(gateway) + 1) % gateways.size]
            val keyed = Deployment.headersOf(organisation) + ("Idempotency-Key" to key)
            val first = web.post(url, WEIGHING, keyed)
            if (first.status == OK) {
                web.post("${other.callers}/services/${Deployment.SERVICE}$path", WEIGHING, keyed)
            }
            verdict(first) { path in it.body }
        }
    }

    private fun issue(gateway: GatewayPlace, organisation: String): String =
        web.post("${gateway.callers}/tickets", "", Deployment.headersOf(organisation)).member("ticket")

    private fun attempt(
        organisation: String,
        promptDigest: String,
        effect: String,
        repeatable: Boolean,
        call: () -> Verdict,
    ): Outcome {
        val verdict = try {
            call()
        } catch (cause: IOException) {
            Verdict(CallResult.BROKEN, detail = cause.toString())
        } catch (cause: SerializationException) {
            Verdict(CallResult.BROKEN, detail = cause.message.orEmpty())
        }
        val (result, firstTokenMillis, detail) = verdict
        return Outcome(organisation, promptDigest, effect, repeatable, result, firstTokenMillis, detail)
    }

    private fun verdict(answer: WebAnswer, isRight: (WebAnswer) -> Boolean): Verdict = when {
        answer.status != OK -> answer.refusal()
        isRight(answer) -> Verdict(CallResult.ANSWERED, answer.firstTokenMillis)
        else -> Verdict(CallResult.WRONG, answer.firstTokenMillis, answer.body.takeLast(SHOWN))
    }

    private companion object {
        const val CONTEXTS_PER_ORGANISATION = 10
        const val KINDS = 6
        const val TOKENS = 16
        const val OK = 200
        const val SHOWN = 200
        const val WEIGHING = "{\"basket\":7,\"grams\":12400}"
        const val CALLER_THREADS = 64
        val CALLERS = Executors.newFixedThreadPool(CALLER_THREADS) { task ->
            Thread(task, "caller").apply { isDaemon = true }
        }.asCoroutineDispatcher()
    }
}
