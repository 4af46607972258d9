package org.parsleymoor.gateway

import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.endsWith
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.startsWith
import java.nio.file.Path
import kotlin.io.path.writeText

/** Guards against a mistake in the settings that is shown only after the others are corrected, or not at all. */
@Timeout(60)
class SettingsCheckTest {
    @TempDir
    lateinit var directory: Path

    private val file get() = directory.resolve("gateway.toml")

    private fun check(settings: String): GatewayProcess {
        file.writeText(settings.trimIndent())
        return GatewayProcess(directory, "check", "$file")
    }

    @Test
    fun `check lists every mistake with its key, the value found and what was expected`() {
        val settings = """
            instance = "not a name"
            zone = 3
            drainMillis = -1
            colour = "red"
            [callers]
            port = 70000
            [platform]
            address = "nowhere"
            [streams]
            maximumAttempts = 17
        """
        check(settings).use { process ->
            expectThat(process.exitStatus()).isEqualTo(2)
            expectThat(process.standardError.trim().lines()).isEqualTo(MISTAKES.map { "$file$it" })
            expectThat(process.standardOutput).isEmpty()
        }
    }

    @Test
    fun `starting with mistakes lists the same and accepts no caller`() {
        file.writeText("instance = \"gateway-1\"\n")
        GatewayProcess(directory, "--settings", "$file").use { process ->
            expectThat(process.exitStatus()).isEqualTo(2)
            expectThat(process.standardError.trim().lines()).isEqualTo(MISSING.map { "$file$it" })
        }
    }

    @Test
    fun `a file that is not TOML is refused with its line`() {
        check("instance = \"gateway-1\"\nzone north\n").use { process ->
            expectThat(process.exitStatus()).isEqualTo(2)
            expectThat(process.standardError).startsWith("$file:2: expected a line of TOML")
            expectThat(process.standardError.trim()).endsWith("found zone north")
        }
    }

    @Test
    fun `valid settings are said to be valid with status 0`() {
        val settings = """
            instance = "gateway-1"
            zone = "north-1"
            region = "north"
        """
        check(settings).use { process ->
            expectThat(process.exitStatus()).isEqualTo(0)
            expectThat(process.standardOutput.trim()).isEqualTo("$file: valid")
        }
    }

    private companion object {
        const val NAME = "expected letters, digits, dots, dashes and underscores, at most 63"
        const val KEYS =
            "callers, drainMillis, instance, operations, orders, peers, platform, region, streams, tracing, zone"
        val MISTAKES = listOf(
            ":1: instance: $NAME, found \"not a name\"",
            ":1: region: $NAME, found nothing",
            ":2: zone: $NAME, found 3",
            ":3: drainMillis: expected a whole number from 0 to 3600000, found -1",
            ":4: colour: expected one of the keys $KEYS, found an unknown key",
            ":6: callers.port: expected a whole number from 0 to 65535, found 70000",
            ":8: platform.address: expected host:port, found \"nowhere\"",
            ":10: streams.maximumAttempts: expected a whole number from 1 to 16, found 17",
        )
        val MISSING = listOf(":1: zone: $NAME, found nothing", ":1: region: $NAME, found nothing")
    }
}
