package org.parsleymoor.trials

import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import org.junit.jupiter.api.extension.ExtendWith
import org.junit.jupiter.api.io.TempDir
import org.parsleymoor.testing.KnownFailures
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isGreaterThan
import java.nio.file.Path

@Timeout(180)
@ExtendWith(KnownFailures::class)
class FaultRunTest {
    @TempDir
    lateinit var directory: Path

    /** Guards against a gateway that cuts requests off on SIGTERM, and against wrong answers around its restart. */
    @Test
    fun `a planned stop of a gateway process interrupts no request`() {
        val fleet = Fleet(directory, directory, classPath = System.getProperty("java.class.path"))
        val times = ExperimentTimes(warmUpMillis = 2_000, beforeMillis = 1_000, afterMillis = 1_000)
        val result = FaultRun(fleet, FaultName.PLANNED_STOP, seed = 1, times).use { it.run() }
        expectThat(result.failures).isEmpty()
        expectThat(result.report.answered).isGreaterThan(0)
    }
}
