package org.parsleymoor.configuration

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** Reads a program's settings from TOML and reports all errors in them. */
public object SettingsReader {
    /** Reads the file at [path] with [read], or returns all errors, including keys that [read] does not use. */
    public fun <T> read(path: Path, read: (TomlSection) -> T): Result<T, ValidationErrors> = try {
        parse(path.toString(), Files.readString(path), read)
    } catch (cause: IOException) {
        Err(ValidationErrors(listOf(unreadable(path, cause))))
    }

    /** Reads [text], the content of [file], with [read], or returns all errors. */
    public fun <T> parse(file: String, text: String, read: (TomlSection) -> T): Result<T, ValidationErrors> {
        val errors = mutableListOf<ValidationError>()
        val value = parseInto(file, text, errors, read)
        return if (errors.isEmpty()) Ok(value) else Err(ValidationErrors(errors.sortedBy { it.line }))
    }

    /** Returns the keys that [read] uses, in order of use, without reading a file. */
    public fun describe(read: (TomlSection) -> Unit): List<KeyDescription> {
        val descriptions = mutableListOf<KeyDescription>()
        read(TomlSection(TomlReadContext("", mutableListOf(), descriptions), "", TomlItem.Table(0, emptyMap())))
        return descriptions
    }

    internal fun <T> parseInto(
        file: String,
        text: String,
        errors: MutableList<ValidationError>,
        read: (TomlSection) -> T,
    ): T {
        val document = TomlDocument(file, text, errors)
        val root = TomlSection(TomlReadContext(file, errors, isSyntaxValid = document.isSyntaxValid), "", document.root)
        val value = read(root)
        root.reportUnusedKeys()
        return value
    }

    internal fun unreadable(path: Path, cause: IOException): ValidationError =
        ValidationError(path.toString(), 0, "", cause.toString(), "a readable file in UTF-8")
}

/**
 * A key of a program's settings: its dotted [path], in which `[]` marks an array of tables, the [expected] value, and
 * the [default] in TOML notation, or null if the key is required.
 */
public data class KeyDescription(public val path: String, public val expected: String, public val default: String?)
