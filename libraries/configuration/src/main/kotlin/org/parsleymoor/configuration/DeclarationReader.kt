package org.parsleymoor.configuration

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.extension
import kotlin.io.path.isDirectory
import kotlin.io.path.listDirectoryEntries

/**
 * What a directory of declarations says. [configuration] has revision 0. [declaredStates] are the zones and endpoints
 * whose `state` a file sets; the others keep the state that is in effect when the declarations are applied.
 */
public data class Declarations(
    public val configuration: Configuration,
    public val declaredStates: Set<ItemReference> = emptySet(),
)

/** Reads declarations in TOML and lists every mistake in all files. */
public object DeclarationReader {
    /** Reads the `.toml` files of [directory] as one configuration; returns all [ValidationErrors] of all files. */
    public fun read(directory: Path): Result<Declarations, ValidationErrors> {
        val mistakes = mutableListOf<ValidationError>()
        val texts = files(directory, mistakes).mapNotNull { readText(it, mistakes) }
        return if (mistakes.isEmpty()) parse(texts) else parse(texts, mistakes)
    }

    /** Reads [texts], pairs of file name and content, as one configuration; returns all [ValidationErrors]. */
    public fun parse(texts: List<Pair<String, String>>): Result<Declarations, ValidationErrors> =
        parse(texts, mutableListOf())

    /** Returns the keys that declarations may set, in the order of their tables. */
    public fun describe(): List<KeyDescription> = SettingsReader.describe { DeclarationTables().read(it) }

    private fun parse(
        texts: List<Pair<String, String>>,
        mistakes: MutableList<ValidationError>,
    ): Result<Declarations, ValidationErrors> {
        val tables = DeclarationTables()
        texts.forEach { (file, text) -> SettingsReader.parseInto(file, text, mistakes, tables::read) }
        tables.check()
        val order = compareBy<ValidationError>({ it.file }, { it.line })
        return if (mistakes.isEmpty()) Ok(tables.declarations()) else Err(ValidationErrors(mistakes.sortedWith(order)))
    }

    private fun files(directory: Path, mistakes: MutableList<ValidationError>): List<Path> {
        val entries = if (directory.isDirectory()) directory.listDirectoryEntries() else null
        val files = entries?.filter { it.extension == "toml" }
        if (files.isNullOrEmpty()) {
            val found = if (files == null) "no directory" else "a directory without such a file"
            mistakes += ValidationError(
                directory.toString(),
                0,
                "",
                found,
                "a directory with declarations in .toml files",
            )
        }
        return files.orEmpty().sorted()
    }

    private fun readText(path: Path, mistakes: MutableList<ValidationError>): Pair<String, String>? = try {
        path.toString() to Files.readString(path)
    } catch (cause: IOException) {
        mistakes += SettingsReader.unreadable(path, cause)
        null
    }
}
