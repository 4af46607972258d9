package org.parsleymoor.entry

import org.parsleymoor.relay.routing.CallerLimits
import org.parsleymoor.relay.routing.RequestKind

/** Serves until the standard input ends, then prints the log. The arguments are those of a [RelayProcess]. */
internal fun main(arguments: Array<String>) {
    val kind = RequestKind.valueOf(arguments[0])
    RelayHarness(kind = kind, timeoutMillis = 4_000, resumable = kind == RequestKind.STREAM).use { harness ->
        harness.limits = CallerLimits()
        harness.listForProcess(arguments[1].toInt(), arguments.drop(2).map { it.toInt() })
        println(harness.port)
        System.`in`.readAllBytes()
        println(harness.allLogged())
    }
}
