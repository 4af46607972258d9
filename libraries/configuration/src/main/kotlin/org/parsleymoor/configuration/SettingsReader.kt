package org.parsleymoor.configuration

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** Reads a program's settings from TOML and lists every mistake in them. */
public object SettingsReader {
    /** Reads the file at [path] with [read]; returns all [Mistakes], also the keys that [read] did not ask for. */
    public fun <T> read(path: Path, read: (TomlSection) -> T): Result<T, Mistakes> = try {
        parse(path.toString(), Files.readString(path), read)
    } catch (cause: IOException) {
        Err(Mistakes(listOf(unreadable(path, cause))))
    }

    /** Reads [text], the content of [file], with [read]; returns all [Mistakes]. */
    public fun <T> parse(file: String, text: String, read: (TomlSection) -> T): Result<T, Mistakes> {
        val mistakes = mutableListOf<Mistake>()
        val value = parseInto(file, text, mistakes, read)
        return if (mistakes.isEmpty()) Ok(value) else Err(Mistakes(mistakes.sortedBy { it.line }))
    }

    /** Returns the keys that [read] asks for, in that order, without any file. */
    public fun describe(read: (TomlSection) -> Unit): List<KeyDescription> {
        val described = mutableListOf<KeyDescription>()
        read(TomlSection(TomlReading("", mutableListOf(), described), "", TomlItem.Table(0, emptyMap())))
        return described
    }

    internal fun <T> parseInto(
        file: String,
        text: String,
        mistakes: MutableList<Mistake>,
        read: (TomlSection) -> T,
    ): T {
        val document = TomlDocument(file, text, mistakes)
        val root = TomlSection(TomlReading(file, mistakes, isWhole = document.isWhole), "", document.root)
        val value = read(root)
        root.reportUnreadKeys()
        return value
    }

    internal fun unreadable(path: Path, cause: IOException): Mistake =
        Mistake(path.toString(), 0, "", cause.toString(), "a readable file in UTF-8")
}

/**
 * A key that a program reads from its settings: its dotted [path], where `[]` marks repeated tables, what it accepts,
 * and its [default] as it is written in TOML, or null when the key is required.
 */
public data class KeyDescription(public val path: String, public val expected: String, public val default: String?)
