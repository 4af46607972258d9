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
 * The content of a set of declaration files. [configuration] has revision 0. [declaredStates] are the zones and
 * endpoints whose `state` is set in a file; the others keep their current state when the declarations are applied.
 */
public data class Declarations(
    public val configuration: Configuration,
    public val declaredStates: Set<ItemReference> = emptySet(),
)

/** Reads declarations in TOML and reports all errors in all files. */
public object DeclarationReader {
    /** Reads the `.toml` files of [directory] as one configuration, or returns all errors in them. */
    public fun read(directory: Path): Result<Declarations, ValidationErrors> {
        val errors = mutableListOf<ValidationError>()
        val texts = files(directory, errors).mapNotNull { readText(it, errors) }
        return if (errors.isEmpty()) parse(texts) else parse(texts, errors)
    }

    /** Reads [texts], pairs of file name and content, as one configuration, or returns all errors. */
    public fun parse(texts: List<Pair<String, String>>): Result<Declarations, ValidationErrors> =
        parse(texts, mutableListOf())

    /** Returns the keys that declarations may set, in the order of their tables. */
    public fun describe(): List<KeyDescription> = SettingsReader.describe { DeclarationTables().read(it) }

    private fun parse(
        texts: List<Pair<String, String>>,
        errors: MutableList<ValidationError>,
    ): Result<Declarations, ValidationErrors> {
        val tables = DeclarationTables()
        texts.forEach { (file, text) -> SettingsReader.parseInto(file, text, errors, tables::read) }
        tables.check()
        val order = compareBy<ValidationError>({ it.file }, { it.line })
        return if (errors.isEmpty()) Ok(tables.declarations()) else Err(ValidationErrors(errors.sortedWith(order)))
    }

    private fun files(directory: Path, errors: MutableList<ValidationError>): List<Path> {
        val entries = if (directory.isDirectory()) directory.listDirectoryEntries() else null
        val files = entries?.filter { it.extension == "toml" }
        if (files.isNullOrEmpty()) {
            val found = if (files == null) "no directory" else "a directory without such a file"
            errors += ValidationError(
                directory.toString(),
                0,
                "",
                found,
                "a directory with declarations in .toml files",
            )
        }
        return files.orEmpty().sorted()
    }

    private fun readText(path: Path, errors: MutableList<ValidationError>): Pair<String, String>? = try {
        path.toString() to Files.readString(path)
    } catch (cause: IOException) {
        errors += SettingsReader.unreadable(path, cause)
        null
    }
}
