package org.parsleymoor.trials

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.parsleymoor.standins.ModelText
import java.io.IOException
import java.net.ConnectException

/** One caller of an organisation at [home]; a refused connection makes it try [second], once. */
internal class Caller(
    private val organisation: String,
    private val home: GatewayPlace,
    private val second: GatewayPlace
) {
    private val headers = Deployment.headersOf(organisation)

    /** Asks for a completion of [prompt]. */
    fun complete(prompt: String, streamed: Boolean): CallRecord {
        val model = Deployment.modelOf(organisation)
        val body = buildJsonObject {
            put("model", model)
            put("prompt", prompt)
            put("max_tokens", TOKENS)
            put("stream", streamed)
        }.toString()
        val expected = ModelText.answer(model, prompt, TOKENS)
        val kind = if (streamed) CallKind.STREAMED else CallKind.WHOLE
        val subject = Subject(kind, promptDigest = ModelText.promptDigest(prompt), repeatable = true)
        return record(subject, { if (streamed) it.streamedText() == expected else it.wholeText() == expected }) {
            val url = "${it.callers}/v1/completions"
            if (streamed) WEB.stream(url, body, headers) else WEB.post(url, body, headers)
        }
    }

    /** Reads [path] of the plain service. */
    fun read(path: String): CallRecord =
        record(Subject(CallKind.READ, effect = path, repeatable = true), { it.isReceipt(path, "") }) {
            WEB.get(it.service(path), headers)
        }

    /** Posts [body] to [path] of the plain service, with no key when [key] is empty. */
    fun post(kind: CallKind, path: String, body: String, key: String = ""): CallRecord =
        record(Subject(kind, effect = path, repeatable = false), { it.isReceipt(path, body) }) {
            WEB.post(it.service(path), body, headersWith(key))
        }

    /** Issues a ticket and posts [body] with it; also returns the ticket, empty when none was issued. */
    fun postWithTicket(path: String, body: String): Pair<CallRecord, String> {
        var ticket = ""
        val call = record(Subject(CallKind.TICKET, effect = path, repeatable = false), { it.isReceipt(path, body) }) {
            val issued = WEB.post("${it.callers}/tickets", "", headers)
            if (issued.status == OK) {
                ticket = issued.member("ticket")
                WEB.post(it.service(path), body, headersWith(ticket))
            } else {
                issued
            }
        }
        return call to ticket
    }

    /**
     * Sends the call of [first] again with its [key]. An answer has to be the receipt of the first run. What the first
     * caller knows to have run is not looked for in the journals a second time.
     */
    fun repeat(first: CallRecord, body: String, key: String): CallRecord {
        val path = first.outcome.effect
        val effect = if (first.outcome.result == CallResult.ANSWERED) "" else path
        return record(Subject(CallKind.REPEAT, effect = effect, repeatable = false), { it.isReceipt(path, body) }) {
            WEB.post(it.service(path), body, headersWith(key))
        }
    }

    private fun record(
        subject: Subject,
        isRight: (WebAnswer) -> Boolean,
        call: (GatewayPlace) -> WebAnswer,
    ): CallRecord {
        val started = System.currentTimeMillis()
        var movedOn = false
        val verdict = verdictOf(isRight) {
            try {
                call(home)
            } catch (_: ConnectException) {
                movedOn = true
                call(second)
            }
        }
        val outcome = Outcome(
            organisation = organisation,
            promptDigest = subject.promptDigest,
            effect = subject.effect,
            repeatable = subject.repeatable,
            result = verdict.result,
            firstTokenMillis = verdict.firstTokenMillis,
            detail = verdict.detail,
        )
        return CallRecord(subject.kind, outcome, started, movedOn)
    }

    private fun verdictOf(isRight: (WebAnswer) -> Boolean, call: () -> WebAnswer): Verdict = try {
        verdict(call(), isRight)
    } catch (cause: IOException) {
        Verdict(CallResult.BROKEN, detail = cause.toString())
    } catch (cause: SerializationException) {
        Verdict(CallResult.WRONG, detail = cause.message.orEmpty())
    }

    private fun verdict(answer: WebAnswer, isRight: (WebAnswer) -> Boolean): Verdict = when {
        answer.status != OK -> answer.refusal()
        isRight(answer) -> Verdict(CallResult.ANSWERED, answer.firstTokenMillis)
        // A stream that ends with an error event tells the caller that it is not whole.
        ERROR_EVENT in answer.body -> Verdict(CallResult.UNKNOWN, detail = answer.body.takeLast(SHOWN))
        else -> Verdict(CallResult.WRONG, detail = answer.body.takeLast(SHOWN))
    }

    private fun headersWith(key: String) = if (key.isEmpty()) headers else headers + ("Idempotency-Key" to key)

    private data class Subject(
        val kind: CallKind,
        val promptDigest: String = "",
        val effect: String = "",
        val repeatable: Boolean,
    )

    private companion object {
        const val OK = 200
        const val TOKENS = 16
        const val SHOWN = 200
        const val ERROR_EVENT = "event: error\n"
        val WEB = Web()
    }
}

private fun GatewayPlace.service(path: String) = "$callers/services/${Deployment.SERVICE}$path"
