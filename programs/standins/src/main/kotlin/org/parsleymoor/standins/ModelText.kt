package org.parsleymoor.standins

import java.security.MessageDigest

/**
 * The stand-in model: the answer's tokens are a function of prompt and model alone, so that a sender can check every
 * answer and an answer resumed on another replica continues without a seam.
 */
public object ModelText {
    /** Returns the token at [index] of the answer to [prompt] by [model]. */
    public fun token(model: String, prompt: String, index: Int): String = "${digest(model, prompt).substring(
        (index * DIGITS) % (HEX_LENGTH - DIGITS),
    ).take(DIGITS)}$index "

    /** Returns the first [count] tokens of the answer to [prompt] by [model] as one text. */
    public fun answer(model: String, prompt: String, count: Int): String =
        (0 until count).joinToString("") { token(model, prompt, it) }

    private fun digest(model: String, prompt: String): String =
        MessageDigest.getInstance("SHA-256").digest("$model\n$prompt".toByteArray())
            .joinToString("") { "%02x".format(it) }

    private const val DIGITS = 4
    private const val HEX_LENGTH = 64
}
