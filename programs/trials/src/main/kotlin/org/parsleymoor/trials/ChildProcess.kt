package org.parsleymoor.trials

import java.nio.file.Path
import java.util.concurrent.TimeUnit

/** A process of a trial; its output goes to a file in the trial's directory. */
internal class ChildProcess(val name: String, private val command: List<String>, private val directory: Path) {
    private var process: Process = launch()

    val isAlive: Boolean get() = process.isAlive

    val id: Long get() = process.pid()

    /** Ends the process with SIGKILL and returns when it has ended. */
    fun kill() {
        process.destroyForcibly().waitFor()
    }

    /** Ends the process with SIGTERM, or with SIGKILL after [patienceMillis]; returns its exit status. */
    fun stop(patienceMillis: Long = 10_000): Int {
        process.destroy()
        if (!process.waitFor(patienceMillis, TimeUnit.MILLISECONDS)) kill()
        return process.exitValue()
    }

    /** Sends a signal such as `STOP` or `CONT`. */
    fun signal(signal: String) {
        ProcessBuilder("kill", "-$signal", id.toString()).start().waitFor()
    }

    /** Starts the process again after it has ended. */
    fun restart() {
        process = launch()
    }

    private fun launch(): Process = ProcessBuilder(command)
        .redirectErrorStream(true)
        .redirectOutput(ProcessBuilder.Redirect.appendTo(directory.resolve("$name.out").toFile()))
        .start()
}
