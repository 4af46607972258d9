package org.parsleymoor.operator

import com.github.ajalt.clikt.command.SuspendingNoOpCliktCommand
import com.github.ajalt.clikt.core.Context

/** A command that only holds others. */
internal class CommandGroup(name: String, private val purpose: String, private val example: String) :
    SuspendingNoOpCliktCommand(name) {
    override fun help(context: Context): String = "$purpose\n\nExample: `parsleymoor $example`"

    override fun helpEpilog(context: Context): String = if (context.parent == null) statuses() else ""

    private fun statuses(): String =
        ExitStatus.entries.joinToString("\n\n", prefix = "Exit statuses:\n\n") { "${it.code}: ${it.meaning}" }
}
