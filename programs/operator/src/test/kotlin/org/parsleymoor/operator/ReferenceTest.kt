package org.parsleymoor.operator

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import java.nio.file.Path
import kotlin.io.path.readText
import kotlin.io.path.writeText

class ReferenceTest {
    private val page = Path.of("docs/reference.md")

    @Test
    fun `the reference page says what the code says`() {
        val generated = ReferencePage(sourceFiles()).text()
        if (System.getProperty("rewritePages") != null) page.writeText(generated)
        val missing = generated.lines() - page.readText().lines().toSet()
        val outdated = page.readText().lines() - generated.lines().toSet()
        expectThat(missing).describedAs("lines of the code that the page lacks; bin/reference adds them")
            .isEqualTo(emptyList())
        expectThat(outdated).describedAs("lines of the page that the code lacks; bin/reference removes them")
            .isEqualTo(emptyList())
    }

    @Test
    fun `settings, metrics, log events and error types are all found`() {
        val text = ReferencePage(sourceFiles()).text()
        expectThat(text)
            .contains("| `zone[].state` | one of \"in\", \"drain\", \"out\" | `\"in\"` |")
            .contains("| `platform` | an address such as 10.0.0.1:7000 | required |")
            .contains("programs/standins: EngineSettings")
            .contains("| libraries/clients | `PlatformFailure.Conflict` | The object has another version;")
            .contains("| libraries/peering | warn |")
    }
}
