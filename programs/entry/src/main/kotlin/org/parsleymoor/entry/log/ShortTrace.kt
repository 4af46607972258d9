package org.parsleymoor.entry.log

/** Returns the beginning of the stack trace, for a log line. */
internal fun Throwable.shortTrace(): String = stackTraceToString().take(MAX_TRACE_CHARACTERS)

// The trace of an overflow of the stack has a thousand lines.
private const val MAX_TRACE_CHARACTERS = 4_000
