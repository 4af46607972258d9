package org.parsleymoor.gateway

import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrThrow
import org.junit.jupiter.api.Test
import org.parsleymoor.clients.HttpAddress
import org.parsleymoor.core.FailureException
import strikt.api.expectThat
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEqualTo

class GatewaySettingsTest {
    @Test
    fun `settings are read from TOML`() {
        val text = """
            instance = "gateway-1"
            zone = "north-1"
            region = "north"
            [callers]
            port = 8080
            [operations]
            port = 8081
            [platform]
            address = "10.0.0.1:7000"
        """.trimIndent()
        val settings = GatewaySettings.parse("gateway.toml", text).getOrThrow { FailureException(it) }
        expectThat(settings.platform).isEqualTo(HttpAddress("10.0.0.1", 7000))
        expectThat(settings.callers.listen.port).isEqualTo(8080)
    }

    @Test
    fun `every mistake is listed with its key`() {
        val text = """
            instance = "not a name"
            zone = 3
            drainMillis = -1
            colour = "red"
            [callers]
            port = 70000
            [platform]
            address = "nowhere"
        """.trimIndent()
        val mistakes = GatewaySettings.parse("gateway.toml", text).getError()?.list.orEmpty()
        expectThat(mistakes.map { it.key }).containsExactlyInAnyOrder(
            "instance",
            "zone",
            "region",
            "drainMillis",
            "colour",
            "callers.port",
            "platform.address",
        )
    }
}
