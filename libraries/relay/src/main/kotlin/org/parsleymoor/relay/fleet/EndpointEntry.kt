package org.parsleymoor.relay.fleet

import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.ModelId
import org.parsleymoor.core.ZoneId

/** A `host:port` address. */
public data class SocketAddress(public val host: String, public val port: Int) {
    override fun toString(): String = "$host:$port"

    public companion object {
        /** Parses `host:port` with a host name or an IP address; returns null for other text. */
        public fun parse(text: String): SocketAddress? {
            val port = text.substringAfterLast(':', "").toIntOrNull()
            val host = text.substringBeforeLast(':')
            return if (port != null && port in PORTS && isHost(host)) SocketAddress(host, port) else null
        }

        private fun isHost(text: String): Boolean =
            if (':' in text) text.all { it in ADDRESS_CHARACTERS } else text.length <= MAX_HOST && isHostName(text)

        private fun isHostName(text: String): Boolean = text.split('.').all { label ->
            label.length in 1..MAX_LABEL && label.all { it in LETTERS || it in DIGITS || it in "-_" }
        }

        private val PORTS = 1..65_535
        private val LETTERS = ('a'..'z') + ('A'..'Z')
        private val DIGITS = '0'..'9'
        private const val ADDRESS_CHARACTERS = "0123456789abcdefABCDEF:.[]"
        private const val MAX_HOST = 253
        private const val MAX_LABEL = 63
    }
}

/**
 * What an endpoint registers in the discovery list. [coldMillis] is how much longer it is cold, that is, can take only
 * little load after a start; [startMillis] tells one start of the endpoint from another, and [release] names the
 * version of its software.
 */
public data class EndpointEntry(
    public val id: EndpointId,
    public val service: String,
    public val address: SocketAddress,
    public val zone: ZoneId,
    public val draining: Boolean,
    public val slots: Int,
    public val coldMillis: Long = 0,
    public val startMillis: Long? = null,
    public val weights: Map<ModelId, Long> = emptyMap(),
    public val release: String? = null,
)
