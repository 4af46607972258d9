package org.parsleymoor.configuration

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** Reads a program's settings from TOML and lists every mistake in them. */
public object SettingsReader {
    /** Reads the file at [path] with [read]; returns every error, including keys that [read] did not ask for. */
    public fun <T> read(path: Path, read: (TomlSection) -> T): Result<T, ValidationErrors> = try {
        parse(path.toString(), Files.readString(path), read)
    } catch (cause: IOException) {
        Err(ValidationErrors(listOf(unreadable(path, cause))))
    }

    /** Reads [text], the content of [file], with [read]; returns all [ValidationErrors]. */
    public fun <T> parse(file: String, text: String, read: (TomlSection) -> T): Result<T, ValidationErrors> {
        val mistakes = mutableListOf<ValidationError>()
        val value = parseInto(file, text, mistakes, read)
        return if (mistakes.isEmpty()) Ok(value) else Err(ValidationErrors(mistakes.sortedBy { it.line }))
    }

    /** Returns the keys that [read] asks for, in that order, without any file. */
    public fun describe(read: (TomlSection) -> Unit): List<KeyDescription> {
        val described = mutableListOf<KeyDescription>()
        read(TomlSection(TomlReadContext("", mutableListOf(), described), "", TomlItem.Table(0, emptyMap())))
        return described
    }

    internal fun <T> parseInto(
        file: String,
        text: String,
        mistakes: MutableList<ValidationError>,
        read: (TomlSection) -> T,
    ): T {
        val document = TomlDocument(file, text, mistakes)
        val root = TomlSection(TomlReadContext(file, mistakes, isWhole = document.isWhole), "", document.root)
        val value = read(root)
        root.reportUnreadKeys()
        return value
    }

    internal fun unreadable(path: Path, cause: IOException): ValidationError =
        ValidationError(path.toString(), 0, "", cause.toString(), "a readable file in UTF-8")
}

/**
 * A key that a program reads from its settings: its dotted [path], where `[]` marks repeated tables, what it accepts,
 * and its [default] as it is written in TOML, or null when the key is required.
 */
public data class KeyDescription(public val path: String, public val expected: String, public val default: String?)
