package org.parsleymoor.configuration

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.aggregator.ArgumentsAccessor
import org.junit.jupiter.params.provider.CsvFileSource
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.startsWith
import java.nio.file.Path
import kotlin.io.path.writeBytes
import kotlin.io.path.writeText

class DeclarationReaderTest {
    @ParameterizedTest(name = "{0}")
    @CsvFileSource(
        resources = ["/broken-declarations.csv"],
        delimiter = '|',
        quoteCharacter = '`',
        numLinesToSkip = 1,
        emptyValue = "",
    )
    fun `an invalid declaration is refused with its location and found and expected values`(row: ArgumentsAccessor) {
        val invalid = Declared.replaceFirst(literal(row.getString(TEXT)), literal(row.getString(BY).orEmpty()))
        expectThat(invalid).isNotEqualTo(Declared)
        val errors = errorsOf("tally.toml" to invalid)
        expectThat(errors).hasSize(1)
        expectThat(errors.single()) {
            get { file }.isEqualTo("tally.toml")
            get { line }.isEqualTo(row.getInteger(LINE))
            get { key }.isEqualTo(row.getString(KEY).orEmpty())
            get { found }.isEqualTo(literal(row.getString(FOUND)))
            get { expected }.startsWith(row.getString(EXPECTED))
        }
    }

    @Test
    fun `valid declarations are read completely`() {
        val configuration = DeclarationReader.parse(listOf("a.toml" to Declared)).get()?.configuration
        expectThat(configuration).isNotNull().and {
            get { zones.map { it.name.value } }.containsExactly("north-a", "south-a")
            get { endpoints.map { it.kind } }.containsExactly(EndpointKind.ENGINE, EndpointKind.SERVICE)
            get { endpoints.first().labels }.isEqualTo(mapOf("fencing" to "checked", "model" to "leaf"))
            get { organisations.map { it.weight } }.containsExactly(2, 1)
            get { limits.queueLength }.isEqualTo(500)
        }
    }

    @Test
    fun `errors in several files are all reported, ordered by file and line`() {
        val first = Declared.replace("weight = 2", "weight = 0").replace("region = \"south\"", "region = 4")
        val second = "[limits]\nqueueLength = 5\n[[zone]]\nname = \"north-a\"\nregion = \"north\"\n"
        val errors = errorsOf("a.toml" to first, "b.toml" to second)
        expectThat(errors.map { "${it.file}:${it.line} ${it.key}" }).containsExactly(
            "a.toml:9 zone.region",
            "a.toml:28 organisation.weight",
            "b.toml:1 limits",
            "b.toml:1 limits.queueLengthPerOrganisation",
            "b.toml:4 zone.name",
        )
    }

    @Test
    fun `only states that are set in a file count as declared`() {
        val declarations = DeclarationReader.parse(listOf("a.toml" to Declared)).get()
        expectThat(declarations?.declaredStates).isEqualTo(setOf(ItemReference(ItemKind.ZONE, "north-a")))
    }

    @Test
    fun `a directory without declarations is refused`(@TempDir directory: Path) {
        expectThat(DeclarationReader.read(directory).getError()?.list?.single()?.found)
            .isEqualTo("a directory without such a file")
        expectThat(DeclarationReader.read(directory.resolve("none")).getError()?.list?.single()?.found)
            .isEqualTo("no directory")
    }

    @Test
    fun `a file that is not UTF-8 is reported together with the errors in other files`(@TempDir directory: Path) {
        directory.resolve("a.toml").writeText(Declared.replace("weight = 2", "weight = 0"))
        directory.resolve("b.toml").writeBytes(byteArrayOf(-1, -2))
        val errors = DeclarationReader.read(directory).getError()?.list.orEmpty()
        expectThat(errors.map { it.expected })
            .containsExactly("a whole number from 1 to 1000", "a readable file in UTF-8")
    }

    @Test
    fun `the keys of declarations are described with their defaults`() {
        val keys = DeclarationReader.describe().associateBy { it.path }
        expectThat(keys["organisation[].weight"]?.default).isEqualTo("1")
        expectThat(keys["endpoint[].address"]).isNotNull().get { default }.isNull()
        expectThat(keys["limits.coldLimit"]?.default).isEqualTo("2")
    }

    private fun errorsOf(vararg texts: Pair<String, String>): List<ValidationError> =
        DeclarationReader.parse(texts.toList()).getError()?.list.orEmpty()

    private fun literal(text: String): String =
        text.replace("\\n", "\n").replace("DIGEST-A", DigestA).replace("DIGEST-B", DigestB)

    /** The columns of `broken-declarations.csv`. */
    private companion object {
        const val TEXT = 1
        const val BY = 2
        const val LINE = 3
        const val KEY = 4
        const val FOUND = 5
        const val EXPECTED = 6
    }
}
