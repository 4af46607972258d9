package org.parsleymoor.standins

import org.parsleymoor.core.sha256Hex

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
    public fun answerTo(model: String, prompt: String): ModelAnswer = ModelAnswer(
        "$model\n$prompt".toByteArray().sha256Hex()
    )

    /** Returns a digest that names [prompt] in journals. */
    public fun promptDigest(prompt: String): String = prompt.toByteArray().sha256Hex().take(PROMPT_DIGEST_LENGTH)

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
