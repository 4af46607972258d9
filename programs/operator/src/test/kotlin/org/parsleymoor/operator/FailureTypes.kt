package org.parsleymoor.operator

/** A type of failure and the first sentence of its description. */
internal data class FailureType(val module: String, val name: String, val meaning: String)

/** Finds the types that implement `Failure`, directly or through a sealed interface, in source text. */
internal class FailureTypes(private val sources: List<SourceFile>) {
    private val parents = sealedParents()

    fun rows(): List<FailureType> = sources.flatMap { file ->
        Declaration.findAll(file.text).filter { extendsOneOf(parents, file.text, it.range.first) }
            .map { FailureType(file.module, nameIn(file.text, it), meaning(file.text, it.range.first)) }
    }

    private fun sealedParents(): Set<String> {
        var known = setOf("Failure")
        repeat(SEALED_DEPTH) {
            known = known + sources.flatMap { file ->
                Sealed.findAll(file.text).filter { it.groupValues[2] in known }.map { it.groupValues[1] }
            }
        }
        return known
    }

    private fun extendsOneOf(names: Set<String>, text: String, start: Int): Boolean {
        val header = text.substring(start).substringBefore("\n\n").substringBefore(" {")
        return Regex("\\)?\\s:\\s(?:\\w+,\\s)*(${names.joinToString("|")})\\b(?!\\()").containsMatchIn(header)
    }

    /** Prefixes the name with that of the sealed interface it is nested in. */
    private fun nameIn(text: String, declaration: MatchResult): String {
        val name = declaration.groupValues[2]
        if (declaration.groupValues[1].isEmpty()) return name
        val outer = Regex("\\n(?:public |internal )?sealed interface (\\w+)").findAll(text)
            .lastOrNull { it.range.first < declaration.range.first }
        return outer?.let { "${it.groupValues[1]}.$name" } ?: name
    }

    private fun meaning(text: String, start: Int): String {
        val before = text.substring(0, start).trimEnd().replace(Regex("(\\s*@\\w+(\\([^)\\n]*\\))?)+$"), "")
        if (!before.endsWith("*/")) return ""
        val comment = before.substringAfterLast("/**").removeSuffix("*/")
        val words = comment.replace(Regex("\\n\\s*\\*"), " ").replace(Regex("\\[(\\w+)]"), "`$1`").trim()
        return Regex("^.*?\\.(?=\\s|$)", RegexOption.DOT_MATCHES_ALL).find(words)?.value ?: words
    }

    private companion object {
        const val SEALED_DEPTH = 3
        val Sealed = Regex("sealed interface (\\w+) : (\\w+)")
        val Declaration = Regex("(?<=\\n)( *)(?:public |internal |private )?(?:data )?(?:class|object) (\\w+)")
    }
}
