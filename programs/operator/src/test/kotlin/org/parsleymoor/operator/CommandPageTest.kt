package org.parsleymoor.operator

import com.github.ajalt.clikt.core.BaseCliktCommand
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import java.nio.file.Path
import kotlin.io.path.readText
import kotlin.io.path.writeText

class CommandPageTest {
    @ParameterizedTest
    @ValueSource(strings = ["docs/operators.md", "README.md"])
    fun `every command of a page prints what the page shows`(page: String, @TempDir directory: Path) {
        val path = Path.of(page)
        val printed = OperatorBench(directory).use { bench ->
            runBlocking { CommandPage(path.readText()).rerun { bench.show(it) } }
        }
        if (System.getProperty("rewritePages") != null) path.writeText(printed)
        expectThat(path.readText()).isEqualTo(printed)
    }

    @Test
    fun `the operators' page shows every command`() {
        val commands = CommandPage(Path.of("docs/operators.md").readText()).commands
        val leaves = leaves(parsleymoorCommand { error("not opened") }, emptyList())
        expectThat(leaves).all { get { commands.any { it == this || it.startsWith("$this ") } }.isTrue() }
    }

    @Test
    fun `the operators' page lists every exit status`() {
        val page = Path.of("docs/operators.md").readText()
        expectThat(ExitStatus.entries.toList()).all { get { "| $code | $meaning |" in page }.isTrue() }
    }

    private suspend fun OperatorBench.show(line: String): String {
        val result = run(line)
        val status = if (result.statusCode == 0) "" else "[exit ${result.statusCode}]"
        return result.output.trimEnd() + "\n" + status
    }

    private fun leaves(command: BaseCliktCommand<*>, path: List<String>): List<String> {
        val below = command.registeredSubcommands()
        if (below.isEmpty()) return listOf(path.joinToString(" "))
        return below.flatMap { leaves(it, path + it.commandName) }
    }
}
