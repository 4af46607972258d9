package org.parsleymoor.entry

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.parsleymoor.relay.fleet.SocketAddress
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull

/** The settings that the platform fills in from figures of its own, which are numbers of any form. */
class EntrySettingsTest {
    // A deployment that states 37.09 repeats ended every daemon at its start.
    @ParameterizedTest
    @CsvSource("37.096774193548384,37.096774193548384", "2.5e2,250.0", "0,0.0", "230,230.0", "0.5,0.5")
    fun `the extra repeats are a number of any form`(written: String, read: Double) {
        expectThat(parse("extra = 230" to "extra = $written").get()?.retries?.extra).isEqualTo(read)
    }

    @ParameterizedTest
    @CsvSource("3000.7,3000", "3e3,3000", "0,0")
    fun `times are numbers of any form`(written: String, read: Long) {
        val times = parse("leaseMillis = 3000" to "leaseMillis = $written").get()?.times
        expectThat(times?.leaseMillis).isEqualTo(read)
        val apply = parse("applyMillis = 5000" to "applyMillis = $written").get()?.times
        expectThat(apply?.applyMillis).isEqualTo(read)
    }

    @Test
    fun `a machine without stated figures counts as one core, and seeds may be absent`() {
        val settings = parse().get()
        expectThat(settings).isNotNull().get { processors }.isEqualTo(1.0)
        expectThat(settings?.seeds).isEqualTo(emptyList())
    }

    @Test
    fun `the processor share of a machine is that of all its cores`() {
        val settings = parse("[cold]" to "[machine]\nshare = 0.75\ncores = 2\n[cold]").get()
        expectThat(settings?.processors).isEqualTo(1.5)
    }

    @Test
    fun `seeds are addresses`() {
        val settings = parse("region = \"r\"" to "region = \"r\"\nseeds = [\"10.0.0.1:80\"]").get()
        expectThat(settings?.seeds).isEqualTo(listOf(SocketAddress("10.0.0.1", 80)))
        val mistakes = parse("region = \"r\"" to "region = \"r\"\nseeds = [\"nowhere\"]").getError()
        expectThat(mistakes?.list?.map { it.key }.orEmpty()).contains("seeds")
    }

    @ParameterizedTest
    @CsvSource("extra = 230,extra = \"many\",retries.extra", "leaseMillis = 3000,,times.leaseMillis")
    fun `a figure that is no number or absent is a mistake with its key`(from: String, to: String?, key: String) {
        val mistakes = parse(from to to.orEmpty()).getError()
        expectThat(mistakes?.list?.map { it.key }.orEmpty()).contains(key)
    }

    private fun parse(vararg changes: Pair<String, String>) =
        EntrySettings.parse("file", changes.fold(TEXT) { text, (from, to) -> text.replace(from, to) })

    private companion object {
        val TEXT = """
            instance = "i"
            zone = "a"
            region = "r"
            [zones]
            "a" = "r"
            [listen]
            callers = "10.0.0.1:1"
            readiness = "10.0.0.1:2"
            peers = "10.0.0.1:3"
            metrics = "10.0.0.1:4"
            [objectStore]
            address = "10.0.0.2:1"
            [times]
            graceSeconds = 8
            leaseMillis = 3000
            weightsMillis = 12000
            applyMillis = 5000
            [retries]
            share = 0.2
            extra = 230
            windowSeconds = 10
            [cold]
            overage = 1.5
            slack = 5
        """.trimIndent()
    }
}
