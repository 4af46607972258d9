package org.parsleymoor.operator

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.mapError
import org.parsleymoor.clients.HttpAddress
import org.parsleymoor.configuration.SettingsReader
import org.parsleymoor.configuration.TomlSection
import org.parsleymoor.configuration.count
import org.parsleymoor.configuration.text
import org.parsleymoor.configuration.texts
import java.nio.file.Path

/**
 * Where the deployment is. [gateways] are operations ports; with none, those in the platform's instance list are used.
 * [operator] names who makes changes. A change is expected in effect everywhere within [waitMillis].
 */
internal data class OperatorSettings(
    val platform: HttpAddress,
    val operator: String,
    val gateways: List<HttpAddress>,
    val waitMillis: Long,
) {
    companion object {
        /** Changes take effect within 14 s at the planned scale (I11); one second more tells late from lost. */
        private const val DEFAULT_WAIT_MILLIS = 15_000
        private const val MOST_WAIT_MILLIS = 600_000
        private val NoAddress = HttpAddress("", 0)

        fun read(path: Path): Result<OperatorSettings, OperatorFailure> =
            SettingsReader.read(path, ::read).mapError {
                OperatorFailure.InvalidFiles(it, "parsleymoor status --settings FILE, with FILE corrected")
            }

        fun read(section: TomlSection): OperatorSettings = OperatorSettings(
            platform = address(section.text("platform", null, "an address such as 10.0.0.1:7000", ::isAddress)),
            operator = section.text("operator", System.getProperty("user.name"), "a name") { it.isNotBlank() },
            gateways = section.texts("gateways", emptyList(), "addresses such as [\"10.0.0.2:9100\"]", ::isAddress)
                .map(::address),
            waitMillis = section.count("waitMillis", DEFAULT_WAIT_MILLIS, 0..MOST_WAIT_MILLIS).toLong(),
        )

        private fun isAddress(text: String): Boolean = runCatching { HttpAddress.parse(text) }.isSuccess

        private fun address(text: String): HttpAddress = if (isAddress(text)) HttpAddress.parse(text) else NoAddress
    }
}
