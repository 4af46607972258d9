package org.parsleymoor.configuration

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo

class SettingsReaderTest {
    @Test
    fun `every error in a file is reported with its line, key, found and expected value`() {
        val text = """
            instance = 7
            port = 70000
            prot = 1
            [limits]
            share = "half"
        """.trimIndent()
        val errors = SettingsReader.parse("a.toml", text, ::settings).getError()?.list.orEmpty()
        expectThat(errors.map { it.message }).containsExactly(
            "a.toml:1: instance: expected a string, found 7",
            "a.toml:1: zone: expected a string, found nothing",
            "a.toml:2: port: expected a whole number from 1 to 65535, found 70000",
            "a.toml:3: prot: expected one of the keys instance, limits, port, tags, zone, found an unknown key",
            "a.toml:5: limits.share: expected a number from 0.0 to 1.0, found \"half\"",
        )
    }

    @Test
    fun `invalid TOML lines and duplicate keys are all reported`() {
        val text = "instance = \"a\"\nzone \nport = = 3\nzone = \"x\"\nzone = \"y\"\n"
        val errors = SettingsReader.parse("a.toml", text, ::settings).getError()?.list.orEmpty()
        expectThat(errors.map { it.line to it.key }).containsExactly(2 to "", 3 to "", 5 to "zone")
    }

    @Test
    fun `a valid file is read with defaults for missing keys`() {
        val text = "instance = \"a\"\nzone = 'z'\ntags = [\"b\", \"c\"]\n[limits]\nshare = 1\n"
        val read = SettingsReader.parse("a.toml", text, ::settings).get()
        expectThat(read).isEqualTo("a z 80 [b, c] 1.0")
    }

    private fun settings(section: TomlSection): String {
        val instance = section.text("instance")
        val zone = section.text("zone")
        val port = section.count("port", 80, 1..65_535)
        val tags = section.texts("tags", emptyList())
        val share = section.section("limits")?.number("share", 0.5, 0.0..1.0)
        return "$instance $zone $port $tags $share"
    }
}
