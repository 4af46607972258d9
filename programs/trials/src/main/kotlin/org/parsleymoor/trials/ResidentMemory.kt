package org.parsleymoor.trials

import java.nio.file.Files
import java.nio.file.Path

/** Resident memory of processes as the kernel counts it. */
internal object ResidentMemory {
    /** The highest resident memory that the process has had, in megabytes; 0 when it has ended. */
    fun peakMegabytes(process: Long): Long = read(process, "VmHWM:")

    /** The resident memory that the process has now, in megabytes; 0 when it has ended. */
    fun megabytes(process: Long): Long = read(process, "VmRSS:")

    private fun read(process: Long, field: String): Long {
        val file = Path.of("/proc/$process/status")
        val lines = if (Files.exists(file)) Files.readAllLines(file) else emptyList()
        val line = lines.firstOrNull { it.startsWith(field) } ?: return 0
        return line.filter { it.isDigit() }.toLong() / KILOBYTES_PER_MEGABYTE
    }

    private const val KILOBYTES_PER_MEGABYTE = 1_024
}
