package org.parsleymoor.standins

/** Whether an engine is cold: until it has given [coldAnswers] answers and [coldMillis] have passed since its start. */
internal class ColdStart(private val coldAnswers: Int, private val coldMillis: Long) {
    private var answers = coldAnswers
    private var sinceMillis = 0L

    /** The time the engine last became cold, 0 when it never was. */
    val coldSinceMillis: Long get() = sinceMillis

    fun enter(nowMillis: Long) {
        answers = 0
        sinceMillis = nowMillis
    }

    fun answered() {
        answers += 1
    }

    fun isCold(nowMillis: Long): Boolean = answers < coldAnswers || nowMillis - sinceMillis < coldMillis
}
