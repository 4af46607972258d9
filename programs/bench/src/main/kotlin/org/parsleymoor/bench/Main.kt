package org.parsleymoor.bench

import com.github.ajalt.clikt.core.NoOpCliktCommand
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands

/** Entry point of `bin/bench`. */
public fun main(arguments: Array<String>): Unit =
    NoOpCliktCommand("bench").subcommands(RunCommand(), DecideCommand(), EventsCommand()).main(arguments)
