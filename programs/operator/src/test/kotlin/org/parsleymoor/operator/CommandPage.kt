package org.parsleymoor.operator

/**
 * A Markdown page whose `console` blocks hold command lines, each after `$ bin/`, with the output below it and, for a
 * status other than 0, a last line `[exit N]`. Of a command that ends in ` | head -N`, the first N lines are shown.
 * Times are shown as fixed examples.
 */
internal class CommandPage(private val text: String) {
    /** Every command line of the page without `$ bin/parsleymoor`. */
    val commands: List<String> get() = text.lines().filter { it.startsWith(PROMPT) }.map { it.removePrefix(PROMPT) }

    /** Runs the commands in order with [run] and returns the page with the output that they print. */
    suspend fun rerun(run: suspend (String) -> String): String {
        val page = mutableListOf<String>()
        var isConsole = false
        for (line in text.lines()) {
            if (line == FENCE && isConsole) isConsole = false
            if (!isConsole) page += line
            if (line == "${FENCE}console") isConsole = true
            if (isConsole && line.startsWith(PROMPT)) page += listOf(line) + output(line, run)
        }
        return page.joinToString("\n")
    }

    private suspend fun output(line: String, run: suspend (String) -> String): List<String> {
        val command = line.removePrefix(PROMPT).substringBefore(HEAD)
        val most = line.substringAfter(HEAD, "").toIntOrNull() ?: Int.MAX_VALUE
        return shown(run(command)).take(most)
    }

    private fun shown(printed: String): List<String> = printed.trimEnd().lines().filter { it.isNotEmpty() }
        .map { it.replace(Duration, "40 ms").replace(Instant, "2026-12-04T09:30:00.000Z").trimEnd() }

    private companion object {
        const val HEAD = " | head -"
        const val FENCE = "```"
        const val PROMPT = "$ bin/parsleymoor "
        val Duration = Regex("""\b\d+ ms\b""")
        val Instant = Regex("""\b\d{4}-\d\d-\d\dT[0-9:.]+Z""")
    }
}
