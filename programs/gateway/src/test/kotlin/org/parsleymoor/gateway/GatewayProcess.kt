package org.parsleymoor.gateway

import java.nio.file.Path
import java.util.concurrent.TimeUnit

/** The gateway's program as a process of its own; its output goes to files in [directory]. */
internal class GatewayProcess(private val directory: Path, vararg arguments: String) : AutoCloseable {
    private val output = directory.resolve("gateway.out").toFile()
    private val errors = directory.resolve("gateway.err").toFile()
    private val process = ProcessBuilder(
        listOf("java", "-Xmx256m", "-cp", System.getProperty("java.class.path"), MAIN_CLASS) + arguments,
    ).redirectOutput(output).redirectError(errors).start()

    val standardOutput: String get() = output.readText()

    val standardError: String get() = errors.readText()

    /** Sends SIGTERM. */
    fun terminate() {
        process.destroy()
    }

    /** Waits until the process has ended by itself and returns its exit status. */
    fun exitStatus(): Int {
        check(process.waitFor(LIMIT_SECONDS, TimeUnit.SECONDS)) { "expected the gateway to end, found it running" }
        return process.exitValue()
    }

    override fun close() {
        process.destroyForcibly().waitFor()
    }

    private companion object {
        const val MAIN_CLASS = "org.parsleymoor.gateway.GatewayMainKt"
        const val LIMIT_SECONDS = 30L
    }
}
