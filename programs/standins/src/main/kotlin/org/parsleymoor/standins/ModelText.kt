package org.parsleymoor.standins

import java.security.MessageDigest

/**
 * The stand-in model: the answer's tokens are a function of prompt and model alone, so that a sender can check every
 * answer and an answer resumed on another replica continues without a seam.
 */
public object ModelText {
    /** Returns the token at [index] of the answer to [prompt] by [model]. */
    public fun token(model: String, prompt: String, index: Int): String = answerTo(model, prompt).token(index)

    /** Returns the first [count] tokens of the answer to [prompt] by [model] as one text. */
    public fun answer(model: String, prompt: String, count: Int): String {
        val answer = answerTo(model, prompt)
        return (0 until count).joinToString("") { answer.token(it) }
    }

    /** Returns the answer to [prompt] by [model], whose tokens are cheap to read one by one. */
    public fun answerTo(model: String, prompt: String): ModelAnswer = ModelAnswer(hexDigest("$model\n$prompt"))

    /** Returns a digest that names [prompt] in journals. */
    public fun promptDigest(prompt: String): String = hexDigest(prompt).take(PROMPT_DIGEST_LENGTH)

    private fun hexDigest(text: String): String =
        MessageDigest.getInstance("SHA-256").digest(text.toByteArray()).joinToString("") { "%02x".format(it) }

    private const val PROMPT_DIGEST_LENGTH = 32
}

/** The tokens of one answer. */
public class ModelAnswer internal constructor(private val digest: String) {
    /** Returns the token at [index]. */
    public fun token(index: Int): String {
        val start = (index * DIGITS) % (digest.length - DIGITS)
        return "${digest.substring(start, start + DIGITS)}$index "
    }

    private companion object {
        const val DIGITS = 4
    }
}
