package org.parsleymoor.operator

import org.parsleymoor.configuration.DeclarationReader
import org.parsleymoor.configuration.KeyDescription
import org.parsleymoor.configuration.SettingsReader
import org.parsleymoor.configuration.TomlSection
import java.lang.reflect.Method
import java.lang.reflect.Modifier

/** Builds `docs/reference.md` from the code. */
internal class ReferencePage(private val sources: List<SourceFile>) {
    fun text(): String = listOf(INTRODUCTION, settings(), metrics(), logEvents(), errors(), refusals())
        .joinToString("\n\n") { it.trim() } + "\n"

    private fun settings(): String {
        val declared = keyTable("Declarations", DeclarationReader.describe())
        val operator = keyTable("`bin/parsleymoor`", SettingsReader.describe { OperatorSettings.read(it) })
        val others = readers().map { (title, method) ->
            keyTable(title, SettingsReader.describe { method.invoke(null, it) })
        }
        return "## Settings\n\n" + (listOf(declared, operator) + others).joinToString("\n\n")
    }

    /** A reader takes the section and returns the settings that its file is named after, or is not private. */
    private fun readers(): List<Pair<String, Method>> = sources
        .filter { it.module in listOf("programs/gateway", "programs/standins") && "TomlSection" in it.text }
        .flatMap { file -> topFunctions(file).map { "${file.module}: ${it.returnType.simpleName}" to it } }
        .sortedBy { it.first }

    private fun topFunctions(file: SourceFile): List<Method> =
        runCatching { Class.forName(file.className) }.getOrNull()?.declaredMethods.orEmpty()
            .filter { it.parameterTypes.toList() == listOf(TomlSection::class.java) }
            .filter { it.returnType.simpleName.endsWith("Settings") }
            .filter { it.returnType.simpleName == file.name || !Modifier.isPrivate(it.modifiers) }
            .onEach { it.isAccessible = true }

    private fun keyTable(title: String, keys: List<KeyDescription>): String =
        "### $title\n\n| key | expected | default |\n|---|---|---|\n" +
            keys.joinToString("\n") { "| `${it.path}` | ${cell(it.expected)} | ${default(it)} |" }

    private fun default(key: KeyDescription): String = when {
        key.default == null -> "required"
        key.path == "operator" -> "the login name"
        else -> "`${key.default}`"
    }

    private fun metrics(): String {
        val rows = sources.flatMap { file -> Meter.findAll(file.text).map { metricRow(it) } }.distinct().sorted()
        return "## Metrics\n\n| name | type | labels |\n|---|---|---|\n" + rows.joinToString("\n")
    }

    private fun metricRow(meter: MatchResult): String {
        val type = meter.groupValues[TYPE].ifEmpty { "Gauge" }
        val suffix = when (type) {
            "Timer" -> "_seconds"
            "Counter" -> "_total"
            else -> ""
        }
        val tags = Tag.findAll(meter.groupValues[TAGS]).map { it.groupValues[1] }.toList() +
            listOf(meter.groupValues[GAUGE_TAG]).filter { it.isNotEmpty() }
        val name = meter.groupValues[NAME].replace('.', '_') + suffix
        return "| `$name` | ${type.removePrefix("Distribution").lowercase()} | ${tags.joinToString { "`$it`" }} |"
    }

    private fun logEvents(): String {
        val rows = sources.flatMap { file ->
            LogCall.findAll(file.text).map { "| ${file.module} | ${it.groupValues[1]} | ${shown(it.groupValues[2])} |" }
        }.distinct().sorted()
        return "## Log events\n\nIn angle brackets stand the values that an event carries.\n\n" +
            "| module | level | message |\n|---|---|---|\n" + rows.joinToString("\n")
    }

    private fun shown(message: String): String = cell(
        message.replace(Template) { found ->
            val last = Regex("\\w+").findAll(found.value.substringBefore("/")).lastOrNull()?.value
            "<${last ?: "value"}>"
        }.replace("<", "&lt;").replace(">", "&gt;"),
    )

    private fun errors(): String {
        val rows = FailureTypes(sources).rows().map { "| ${it.module} | `${it.name}` | ${cell(it.meaning)} |" }
        return "## Error types\n\n| module | type | when |\n|---|---|---|\n" + rows.joinToString("\n")
    }

    private fun refusals(): String {
        val rows = sources.flatMap { file -> RefusalKind.findAll(file.text).map { it.groupValues.drop(1) } }
        if (rows.isEmpty()) return ""
        return "## Refusals\n\nThe `type` of an `application/problem+json` answer ends in the name.\n\n" +
            "| name | title | status |\n|---|---|---|\n" +
            rows.joinToString("\n") { (slug, title, status) -> "| `$slug` | $title | ${status.lowercase()} |" }
    }

    private fun cell(text: String): String = text.replace(Regex("\\s+"), " ").replace("|", "\\|")

    private companion object {
        const val TYPE = 1
        const val NAME = 2
        const val GAUGE_TAG = 3
        const val TAGS = 4
        val Meter = Regex(
            "(?:(Timer|Counter|DistributionSummary|Gauge)\\.builder|\\bgauge)\\(\\s*\"(parsleymoor\\.[a-z.]+)\"" +
                "(?:,\\s*\"(\\w+)\")?((?:[^;{}]*?\\.tag\\(\"\\w+\"[^\\n]*)?)",
        )
        val Tag = Regex("\\.tag\\(\"(\\w+)\"")
        val LogCall =
            Regex("logger\\.(debug|info|warn|error)(?:\\([^)]*\\))?\\s*\\{\\s*\"(.*?)\"\\s*\\}", setOf(DotAll))
        val Template = Regex("\\$\\{[^}]*\\}|\\$\\w+")
        val RefusalKind = Regex("[A-Z_]+\\(\"([a-z-]+)\", \"([^\"]+)\", HttpStatus\\.([A-Z_]+)\\)")
        val INTRODUCTION = """
            # Reference

            This page is written by `bin/reference` from the code; a test compares them. `docs/operators.md` explains the keys that operators use, `docs/design.md` the rest. A key with `[]` stands in a table that may be repeated, such as `[[zone]]`.
        """.trimIndent()
    }
}

private val DotAll = RegexOption.DOT_MATCHES_ALL
