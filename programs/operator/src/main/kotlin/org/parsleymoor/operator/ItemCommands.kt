package org.parsleymoor.operator

import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.choice
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.get
import com.github.michaelbull.result.map
import kotlinx.serialization.Serializable
import org.parsleymoor.clients.GatewayStatus
import org.parsleymoor.configuration.Configuration
import org.parsleymoor.core.Labels

/** The items of a kind as a table; the columns of a program's output have the same names. */
@Serializable
internal data class ItemsOutput(val revision: Long, val kind: String, val items: List<Map<String, String>>)

internal class GetCommand(connector: Connector) : OperatorCommand(
    connector,
    "get",
    "List the items of a kind in the configuration in effect, or its latest changes.",
    "get endpoints --selector region=north,kind=engine",
) {
    private val kind by argument("KIND").choice(ItemTable.entries.associateBy { it.shown })
    private val selector by option("--selector", help = "List only items with these labels.").default("")

    override suspend fun execute(deployment: Deployment): Result<Report, OperatorFailure> {
        val wanted = parseSelector(selector)
        return store(deployment).read().map { stored ->
            val rows = kind.rows(stored).filter { wanted.matches(it.labels) }
            val items = rows.map { kind.columns.zip(it.cells).toMap() }
            val lines = textTable(kind.columns, rows.map { it.cells })
            Report.of(ItemsOutput.serializer(), ItemsOutput(stored.root.revision, kind.shown, items), lines)
        }
    }
}

/** One item with every value, and what each gateway says of it. */
@Serializable
internal data class DescribeOutput(val kind: String, val name: String, val values: Map<String, String>)

internal class DescribeCommand(connector: Connector) : OperatorCommand(
    connector,
    "describe",
    "Show one item with every value, and an endpoint as the gateways see it.",
    "describe endpoint engine-1",
) {
    private val kind by argument("KIND").choice(Described.associateBy { it.single })
    private val name by argument("NAME")

    override suspend fun execute(deployment: Deployment): Result<Report, OperatorFailure> =
        store(deployment).read().andThen { stored ->
            val rows = kind.rows(stored)
            val row = rows.firstOrNull { it.cells.first() == name }
            if (row == null) Err(notFound(kind.single, name, rows.map { it.cells.first() })) else Ok(row)
        }.map { row ->
            val live = if (kind == ItemTable.ENDPOINTS) live(deployment) else emptyMap()
            val values = kind.columns.zip(row.cells).toMap() + live
            val lines = textTable(listOf("KEY", "VALUE"), values.map { listOf(it.key, it.value) })
            Report.of(DescribeOutput.serializer(), DescribeOutput(kind.single, name, values), lines)
        }

    private suspend fun live(deployment: Deployment): Map<String, String> = deployment.statuses().get().orEmpty()
        .mapNotNull { it.answer.get() }
        .associate { "on ${it.instance}" to seenBy(it) }

    private fun seenBy(status: GatewayStatus): String {
        val seen = status.endpoints.firstOrNull { it.endpoint.value == name } ?: return "not seen yet"
        val versions = seen.versions.joinToString { "${it.model} ${it.version}${if (it.loading) " (loading)" else ""}" }
        val flags = listOfNotNull("suspect".takeIf { seen.suspect }, "cold".takeIf { seen.cold })
        return "running ${seen.running}, queued ${seen.queued}, holds ${versions.ifEmpty { "nothing" }}" +
            flags.joinToString("") { ", $it" }
    }

    private companion object {
        val Described = ItemTable.entries - ItemTable.CHANGES - ItemTable.LIMITS
    }
}

/** A row of a table and the labels that a selector sees. */
internal data class ItemRow(val cells: List<String>, val labels: Labels = Labels.Empty)

internal fun Configuration.regionOf(zone: String): String =
    zones.firstOrNull { it.name.value == zone }?.region?.value.orEmpty()
