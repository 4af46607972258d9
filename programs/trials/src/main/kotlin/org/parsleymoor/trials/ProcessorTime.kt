package org.parsleymoor.trials

import java.nio.file.Files
import java.nio.file.Path

/** Processor time of processes as the kernel counts it. */
internal object ProcessorTime {
    /** User and system time that the process has used, in microseconds, in steps of 10 ms. */
    fun micros(process: Long): Long {
        // The second field, the name of the program, may hold spaces and ends with the last parenthesis.
        val fields = Files.readString(Path.of("/proc/$process/stat")).substringAfterLast(") ").split(' ')
        return (fields[USER_FIELD].toLong() + fields[SYSTEM_FIELD].toLong()) * MICROS_PER_TICK
    }

    // Positions after the name of the program; the kernel shows these times at 100 ticks a second on every machine.
    private const val USER_FIELD = 11
    private const val SYSTEM_FIELD = 12
    private const val MICROS_PER_TICK = 10_000L
}
