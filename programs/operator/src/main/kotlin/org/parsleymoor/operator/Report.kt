package org.parsleymoor.operator

import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import java.time.Instant
import java.time.ZoneOffset
import java.time.format.DateTimeFormatter

/** What a command found or did, for people as [lines] and for programs as one JSON object. */
internal class Report(val lines: List<String>, val json: String) {
    companion object {
        fun <T> of(serializer: KSerializer<T>, value: T, lines: List<String>): Report =
            Report(lines, OutputJson.encodeToString(serializer, value))
    }
}

/** A failed command as a JSON object. */
@Serializable
internal data class FailureOutput(val status: ExitStatus, val message: String, val next: String)

internal val OutputJson: Json = Json { encodeDefaults = true }

private val TimeFormat: DateTimeFormatter =
    DateTimeFormatter.ofPattern("yyyy-MM-dd'T'HH:mm:ss.SSS'Z'").withZone(ZoneOffset.UTC)

/** Returns a time as it is shown, in UTC. */
internal fun shownTime(millis: Long): String = TimeFormat.format(Instant.ofEpochMilli(millis))

/** Lays [rows] out under [header] in columns that are as wide as their longest cell. */
internal fun textTable(header: List<String>, rows: List<List<String>>): List<String> {
    val all = listOf(header) + rows
    val widths = header.indices.map { column -> all.maxOf { it[column].length } }
    return all.map { row ->
        row.mapIndexed { column, cell ->
            cell.padEnd(
                widths[column]
            )
        }.joinToString("  ").trimEnd()
    }
}
