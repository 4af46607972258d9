package org.parsleymoor.trials

import java.nio.file.Files
import java.nio.file.Path

/** Resident memory of processes as the kernel counts it. */
internal object ResidentMemory {
    /** The highest resident memory that the process has had, in megabytes; 0 when it has ended. */
    fun peakMegabytes(process: Long): Long {
        val file = Path.of("/proc/$process/status")
        val lines = if (Files.exists(file)) Files.readAllLines(file) else emptyList()
        val peak = lines.firstOrNull { it.startsWith("VmHWM:") } ?: return 0
        return peak.filter { it.isDigit() }.toLong() / KILOBYTES_PER_MEGABYTE
    }

    private const val KILOBYTES_PER_MEGABYTE = 1_024
}
