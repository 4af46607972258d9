package org.parsleymoor.standins

import kotlinx.serialization.KSerializer
import kotlinx.serialization.builtins.ListSerializer
import org.parsleymoor.clients.WireJson
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardOpenOption.APPEND
import java.nio.file.StandardOpenOption.CREATE

/**
 * What a stand-in did, in order. With a [file], every change is written there before the caller goes on, so that the
 * journal survives a kill of the process; a later line with the same number replaces an earlier one.
 */
internal class Journal<T>(
    private val serializer: KSerializer<T>,
    private val file: String,
    private val numberOf: (T) -> Long,
) {
    private val entries = LinkedHashMap<Long, T>()
    private var last = 0L
    private val writer = if (file.isEmpty()) null else Files.newBufferedWriter(Path.of(file), CREATE, APPEND)

    init {
        if (file.isNotEmpty()) readJournal(serializer, Path.of(file)).forEach { keep(it) }
    }

    /** The number of the next entry. */
    val next: Long get() = last + 1

    /** Adds [entry] or replaces the one with its number. */
    fun put(entry: T) {
        keep(entry)
        writer?.apply {
            write(WireJson.encodeToString(serializer, entry))
            newLine()
            flush()
        }
    }

    operator fun get(number: Long): T? = entries[number]

    private fun keep(entry: T) {
        entries[numberOf(entry)] = entry
        last = maxOf(last, numberOf(entry))
    }

    /** All entries as a JSON list. */
    fun json(): String = WireJson.encodeToString(ListSerializer(serializer), entries.values.toList())
}

/** Reads the lines of a journal file; the caller merges lines with the same number. A torn last line is skipped. */
public fun <T> readJournal(serializer: KSerializer<T>, file: Path): List<T> =
    if (!Files.exists(file)) {
        emptyList()
    } else {
        Files.readAllLines(file).filter { it.endsWith("}") }.map { WireJson.decodeFromString(serializer, it) }
    }
