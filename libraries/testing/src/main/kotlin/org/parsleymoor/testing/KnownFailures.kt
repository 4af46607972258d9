package org.parsleymoor.testing

import org.junit.jupiter.api.extension.ExtensionContext
import org.junit.jupiter.api.extension.TestExecutionExceptionHandler
import org.opentest4j.TestAbortedException
import java.nio.file.Path
import kotlin.io.path.exists
import kotlin.io.path.name
import kotlin.io.path.readLines

/**
 * JUnit extension that aborts instead of fails a test which `KNOWN-RED.txt` lists by module, class and name, and prints
 * it. Every other test fails as usual.
 */
public class KnownFailures : TestExecutionExceptionHandler {
    override fun handleTestExecutionException(context: ExtensionContext, throwable: Throwable) {
        val method = context.displayName.removeSuffix("()")
        val name = "${module.name} ${context.requiredTestClass.simpleName} \"$method\""
        if (listed.none { it.startsWith("$name |") }) throw throwable
        println("KNOWN-RED: $name: $throwable")
        throw TestAbortedException("listed in KNOWN-RED.txt", throwable)
    }

    private companion object {
        val module: Path = Path.of("").toAbsolutePath()
        val listed: List<String> = generateSequence(module) { it.parent }
            .map { it.resolve("KNOWN-RED.txt") }.firstOrNull { it.exists() }?.readLines().orEmpty()
    }
}
