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

    internal fun <T> parseInto(
        file: String,
        text: String,
        mistakes: MutableList<Mistake>,
        read: (TomlSection) -> T,
    ): T {
        val root = TomlSection(file, "", TomlDocument(file, text, mistakes).root, mistakes)
        val value = read(root)
        root.reportUnreadKeys()
        return value
    }

    internal fun unreadable(path: Path, cause: IOException): Mistake =
        Mistake(path.toString(), 0, "", cause.toString(), "a readable file in UTF-8")
}
